//! Size of the messages, on which `docs/CAPACITY.md` is based.

use bytes::Bytes;
use damasktrack_quota::credit_message::{self, CreditReply, CreditReport, RefundAge, TenantGrant, TenantReport};

fn report(tenants: usize) -> CreditReport {
    let line = |tenant| TenantReport {
        tenant: Bytes::from(format!("tenant{tenant:04}")),
        spent: 100_000,
        returned: 3_000,
        refunded: 300,
        wanted: 12,
        refund_ages: Vec::new(),
    };
    CreditReport {
        daemon_id: Bytes::from_static(b"machine-0123"),
        incarnation: u64::MAX,
        started_ms: 1_790_000_000_000,
        link: 1,
        sequence: 100_000,
        epoch: u64::MAX,
        sent_ms: 1 << 40,
        share: 1.0 / 760.0,
        tenants: (0..tenants).map(line).collect(),
    }
}

fn reply(tenants: usize) -> CreditReply {
    let grant = TenantGrant {
        granted: 103_012,
        wait_ms: 0,
    };
    CreditReply {
        epoch: u64::MAX,
        stamp_ms: 1 << 40,
        grants: vec![grant; tenants],
    }
}

/// Guards against messages that outgrow the figures of `docs/CAPACITY.md`.
#[test]
fn messages_are_as_short_as_the_capacity_page_says() {
    let length = |tenants| {
        let report = credit_message::encode_report((3, 20), &report(tenants)).unwrap().len();
        (report, credit_message::encode(&reply(tenants)).unwrap().len())
    };
    let (empty, ten) = (length(0), length(10));
    let plain = credit_message::encode_report((3, 20), &report(3)).unwrap().len();
    let tail = credit_message::encode_report((3, 20), &report_with_refunds())
        .unwrap()
        .len()
        - plain;
    println!("{tail} bytes for two ages of refunds of one tenant");
    assert!(tail <= 30, "{tail}");
    println!("report and reply: {empty:?} bytes without tenants, {ten:?} with 10");
    assert!(empty.0 <= 80 && empty.1 <= 24, "{empty:?}");
    assert!(ten.0 - empty.0 <= 260 && ten.1 - empty.1 <= 80, "{ten:?}");
}

/// Line of a report as the build before [`credit_message::RefundAge`] has it.
#[derive(Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierLine {
    tenant: Bytes,
    spent: u64,
    returned: u64,
    refunded: u64,
    wanted: u32,
}

/// Report as that build has it.
#[derive(Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierReport {
    daemon_id: Bytes,
    incarnation: u64,
    started_ms: u64,
    link: u64,
    sequence: u64,
    epoch: u64,
    sent_ms: u64,
    share: f64,
    tenants: Vec<EarlierLine>,
}

/// Reply as that build has it.
#[derive(Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierReply {
    epoch: u64,
    stamp_ms: u64,
    grants: Vec<(u64, u32)>,
}

fn earlier(report: CreditReport) -> EarlierReport {
    let line = |line: TenantReport| EarlierLine {
        tenant: line.tenant,
        spent: line.spent,
        returned: line.returned,
        refunded: line.refunded,
        wanted: line.wanted,
    };
    EarlierReport {
        daemon_id: report.daemon_id,
        incarnation: report.incarnation,
        started_ms: report.started_ms,
        link: report.link,
        sequence: report.sequence,
        epoch: report.epoch,
        sent_ms: report.sent_ms,
        share: report.share,
        tenants: report.tenants.into_iter().map(line).collect(),
    }
}

fn report_with_refunds() -> CreditReport {
    let mut report = report(3);
    report.tenants[1].refund_ages = vec![
        RefundAge { slots: 43, count: 2 },
        RefundAge {
            slots: 3,
            count: 70_000,
        },
    ];
    report
}

/// Guards against an upgrade during which daemons of the two builds reject each other's messages.
#[test]
fn messages_of_both_builds_decode_at_the_other() {
    let group = (3, 20);
    let sent = report_with_refunds();
    let bytes = credit_message::encode_report(group, &sent).unwrap();
    assert_eq!(credit_message::decode_report(&bytes), Some((group, sent.clone())));
    let read: ((u32, u32), EarlierReport) = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read, (group, earlier(sent)));

    let bytes = rmp_serde::to_vec(&(group, earlier(report(3)))).unwrap();
    assert_eq!(credit_message::decode_report(&bytes), Some((group, report(3))));
    assert_eq!(credit_message::encode_report(group, &report(3)).unwrap(), bytes);

    let sent = EarlierReply {
        epoch: 7,
        stamp_ms: 9,
        grants: vec![(1000, 0), (3, 40)],
    };
    let bytes = rmp_serde::to_vec(&sent).unwrap();
    let read: CreditReply = credit_message::decode(&bytes).unwrap();
    assert_eq!(read.grants.len(), 2);
    assert_eq!(read.grants[1].wait_ms, 40);
    let bytes = credit_message::encode(&read).unwrap();
    assert_eq!(rmp_serde::from_slice::<EarlierReply>(&bytes).unwrap(), sent);
}

/// Guards against a tail of a report that fails the whole report at a daemon that doesn't know all its fields, and
/// against one that names a tenant that the report doesn't have.
#[test]
fn fields_that_a_tail_has_in_addition_are_ignored() {
    #[derive(serde::Serialize)]
    struct LaterTail {
        other: &'static str,
        refunds: Vec<(u32, Vec<(u8, u32)>)>,
    }
    let refunds = |position| vec![(position, vec![(1, 2)])];
    let decode = |refunds| {
        let mut bytes = credit_message::encode(&((3, 20), report(3))).unwrap();
        bytes.extend(rmp_serde::to_vec_named(&LaterTail { other: "text", refunds }).unwrap());
        credit_message::decode_report(&bytes)
    };
    let ages = decode(refunds(2)).unwrap().1.tenants.pop().unwrap().refund_ages;
    assert_eq!(ages, [RefundAge { slots: 1, count: 2 }]);
    assert_eq!(decode(refunds(3)), None);
    let cut = credit_message::encode_report((3, 20), &report_with_refunds()).unwrap();
    assert_eq!(credit_message::decode_report(&cut[..cut.len() - 1]), None);
}
