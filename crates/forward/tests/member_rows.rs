//! Rows of the table of members that other writers left, and rows of services that a later configuration adds.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_entity::server_location::ServerLocation;
use damasktrack_forward::config_text::ConfigText;
use damasktrack_forward::forward_core::{AttemptChoice, CoreEffect, ForwardCore};
use damasktrack_forward::forward_settings::ForwardSettings;
use damasktrack_forward::route_config::{CallerLimits, RouteConfig, RouteKind, RouteRule, RouteTarget};
use damasktrack_membership::gossip_context::GossipContext;
use damasktrack_membership::member_record::{MemberRecord, MemberState};
use damasktrack_membership::row_filter::RowVerdict;
use tokio::sync::mpsc;

const PEER_PORT: u16 = 10_000;

fn location() -> ServerLocation {
    ServerLocation {
        region: Bytes::from_static(b"north"),
        data_centre: Bytes::from_static(b"a"),
    }
}

fn address(index: u8, port: u16) -> SocketAddr {
    ([127, 0, 0, index], port).into()
}

/// Returns a daemon of service `entry`, whose service no configuration names, and the effects that it requests.
fn core(now: Instant) -> (ForwardCore, mpsc::UnboundedReceiver<CoreEffect>) {
    let settings = ForwardSettings {
        service: Bytes::from_static(b"entry"),
        ..support::settings(address(1, PEER_PORT))
    };
    let (effects, queue) = mpsc::unbounded_channel();
    (
        ForwardCore::new(Rc::new(settings), effects, 1, 1, now, Duration::ZERO),
        queue,
    )
}

fn row(index: u8, service: &'static str) -> MemberRecord {
    MemberRecord {
        daemon_id: Bytes::from(format!("vm-{index}")),
        started_ms: 1,
        incarnation: u64::from(index),
        version: 1,
        state: MemberState::Joining,
        leaving: false,
        address: address(index + 1, PEER_PORT),
        service: Bytes::from_static(service.as_bytes()),
        location: location(),
        slots: 4,
        departure: None,
    }
}

fn rule(service: &'static str) -> RouteRule {
    RouteRule {
        name: Bytes::from_static(b"read"),
        host: Bytes::from_static(b"site"),
        prefix: Bytes::from_static(b"/"),
        kind: RouteKind::Idempotent,
        timeout: None,
        latency_objective: None,
        priority: 1,
        allow_anonymous: false,
        targets: vec![RouteTarget {
            service: Bytes::from_static(service.as_bytes()),
            weight: 1,
        }],
        max_attempts: 1,
    }
}

fn config(version: u64, services: &[&'static str]) -> RouteConfig {
    let limits = CallerLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    RouteConfig::new(version, limits, services.iter().map(|service| rule(service)).collect())
}

/// Returns whether the daemon sends a request for service `alpha` to the server of VM 1.
fn uses_server(core: &mut ForwardCore, now: Instant) -> bool {
    let choice = core.begin_attempt(&rule("alpha"), &Bytes::from_static(b"alpha"), &[], now);
    matches!(choice, AttemptChoice::Peer { address: to, .. } if to == address(2, PEER_PORT))
}

fn service_of(core: &ForwardCore, daemon: &'static str) -> Option<Bytes> {
    let daemon = Bytes::from_static(daemon.as_bytes());
    Some(core.gossip().table().find(&daemon)?.record.service.clone())
}

fn contacted(queue: &mut mpsc::UnboundedReceiver<CoreEffect>) -> Vec<SocketAddr> {
    let effects = std::iter::from_fn(|| queue.try_recv().ok());
    let sent = effects.filter_map(|effect| match effect {
        CoreEffect::Send(send) => Some(send.to),
        _ => None,
    });
    sent.collect()
}

/// Guards against rows of other writers that hide a server until its daemon overrides them.
#[test]
fn rows_of_foreign_services_and_ports_change_nothing() {
    let now = Instant::now();
    let (mut core, mut queue) = core(now);
    core.adopt_config(config(1, &["alpha"]), ConfigText::default(), now);
    core.merge_members(&[row(1, "alpha")], now);
    let up = MemberRecord {
        state: MemberState::Up,
        version: 2,
        ..row(1, "alpha")
    };
    core.exchange(now, |gossip| ((), gossip.learn(&[up], now)));
    assert!(uses_server(&mut core, now));
    let digest = core.gossip().table().digest();
    contacted(&mut queue);
    let odd = [
        MemberRecord {
            started_ms: 1_000,
            ..row(1, "beta")
        },
        MemberRecord {
            started_ms: 1_000,
            address: address(2, PEER_PORT + 1),
            ..row(1, "alpha")
        },
        MemberRecord {
            address: address(9, 80),
            ..row(8, "alpha")
        },
        row(7, "beta"),
    ];
    let findings = core.merge_members(&odd, now);
    let verdicts: Vec<_> = findings.iter().map(|(_daemon, verdict)| *verdict).collect();
    let (port, service) = (RowVerdict::ForeignPort, RowVerdict::UnknownService);
    assert_eq!(verdicts, [service, port, port, service]);
    assert!(uses_server(&mut core, now));
    assert_eq!(core.gossip().table().digest(), digest);
    assert_eq!(core.gossip().table().len(), 2);
    let foreign = contacted(&mut queue).into_iter().any(|to| to.port() != PEER_PORT);
    assert!(!foreign, "a port outside the deployment was contacted");
}

/// Guards against a sound daemon that stays hidden because its row was written before the configuration that adds its
/// service was read.
#[test]
fn row_counts_once_a_later_configuration_adds_its_service() {
    let now = Instant::now();
    let (mut core, mut queue) = core(now);
    core.adopt_config(config(1, &["alpha"]), ConfigText::default(), now);
    core.merge_members(&[row(1, "alpha"), row(2, "beta")], now);
    assert_eq!(service_of(&core, "vm-2"), None);
    assert!(
        contacted(&mut queue).contains(&address(3, PEER_PORT)),
        "gossip reaches it"
    );
    core.adopt_config(config(2, &["alpha", "beta"]), ConfigText::default(), now);
    assert_eq!(service_of(&core, "vm-2"), Some(Bytes::from_static(b"beta")));
    // A rollback to services of the first configuration doesn't hide the rows of services that were named before.
    core.adopt_config(config(3, &["alpha"]), ConfigText::default(), now);
    assert!(core.merge_members(&[row(3, "beta")], now).is_empty());
    assert_eq!(service_of(&core, "vm-3"), Some(Bytes::from_static(b"beta")));
}

/// Guards against services of an older configuration, read from a restored store, that are taken for unknown.
#[test]
fn services_of_an_older_configuration_are_known() {
    let now = Instant::now();
    let (mut core, _queue) = core(now);
    core.adopt_config(config(5, &["alpha"]), ConfigText::default(), now);
    core.adopt_config(config(4, &["beta"]), ConfigText::default(), now);
    assert!(core.merge_members(&[row(2, "beta")], now).is_empty());
}

/// Guards against a daemon without a configuration that rejects the rows of sound daemons, or that contacts none of
/// them, so that it neither joins the gossip nor gets a configuration.
#[test]
fn rows_are_undecided_without_a_configuration() {
    let now = Instant::now();
    let (mut core, mut queue) = core(now);
    let findings = core.merge_members(&[row(1, "alpha"), row(2, "beta")], now);
    assert!(findings.is_empty(), "{findings:?}");
    let contacts = contacted(&mut queue);
    assert!(contacts.contains(&address(2, PEER_PORT)) && contacts.contains(&address(3, PEER_PORT)));
    core.adopt_config(config(1, &["alpha"]), ConfigText::default(), now);
    assert_eq!(service_of(&core, "vm-1"), Some(Bytes::from_static(b"alpha")));
    assert_eq!(service_of(&core, "vm-2"), None);
    // A member that gossip brings counts whatever its service.
    core.exchange(now, |gossip| ((), gossip.learn(&[row(2, "beta")], now)));
    assert_eq!(service_of(&core, "vm-2"), Some(Bytes::from_static(b"beta")));
}

/// Guards against members of the own service that are rejected since no configuration names it, and against an address
/// of an ended server, used again by a daemon of another service, that is rejected.
#[test]
fn rows_of_the_own_service_and_of_reused_addresses_count() {
    let now = Instant::now();
    let (mut core, _queue) = core(now);
    core.adopt_config(config(1, &["alpha", "beta"]), ConfigText::default(), now);
    let reused = MemberRecord {
        address: row(1, "alpha").address,
        ..row(2, "beta")
    };
    assert!(
        core.merge_members(&[row(1, "alpha"), reused, row(3, "entry")], now)
            .is_empty()
    );
    assert_eq!(service_of(&core, "vm-1"), Some(Bytes::from_static(b"alpha")));
    assert_eq!(service_of(&core, "vm-2"), Some(Bytes::from_static(b"beta")));
    assert_eq!(service_of(&core, "vm-3"), Some(Bytes::from_static(b"entry")));
}

/// Guards against a row of another writer that its daemon can't override, since its own record would then be taken as
/// implausible: the server would stay hidden for good.
#[test]
fn row_at_the_end_of_a_range_can_be_overridden() {
    let now = Instant::now();
    for (started_ms, version) in [
        (1 << 43, 1),
        ((1 << 43) - (1 << 20), 1),
        (1, 1 << 32),
        (1, (1 << 32) - (1 << 20)),
    ] {
        let odd = MemberRecord {
            started_ms,
            version,
            slots: 9,
            ..row(1, "alpha")
        };
        let mut owner = GossipContext::new(row(1, "alpha"), 1, now);
        let mut observer = GossipContext::new(row(2, "alpha"), 2, now);
        observer.learn(&[row(1, "alpha")], now);
        for context in [&mut owner, &mut observer] {
            context.learn_rows(std::slice::from_ref(&odd), now);
        }
        owner.set_up(now);
        let own = owner.own_record().clone();
        observer.learn(std::slice::from_ref(&own), now);
        let known = observer.table().find(&own.daemon_id).unwrap().record.clone();
        assert_eq!(
            (known.state, known.slots),
            (MemberState::Up, own.slots),
            "{started_ms} {version}"
        );
    }
}
