//! Size of the messages, on which `docs/CAPACITY.md` is based.

use bytes::Bytes;
use damasktrack_quota::credit_message::{self, CreditReply, CreditReport, TenantGrant, TenantReport};

fn report(tenants: usize) -> CreditReport {
    let line = |tenant| TenantReport {
        tenant: Bytes::from(format!("tenant{tenant:04}")),
        spent: 100_000,
        returned: 3_000,
        refunded: 300,
        wanted: 12,
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
        let report = credit_message::encode(&(3_u32, 20_u32, report(tenants))).unwrap().len();
        (report, credit_message::encode(&reply(tenants)).unwrap().len())
    };
    let (empty, ten) = (length(0), length(10));
    println!("report and reply: {empty:?} bytes without tenants, {ten:?} with 10");
    assert!(empty.0 <= 80 && empty.1 <= 24, "{empty:?}");
    assert!(ten.0 - empty.0 <= 260 && ten.1 - empty.1 <= 80, "{ten:?}");
}
