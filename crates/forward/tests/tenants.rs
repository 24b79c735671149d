//! Rules of tenants without processes: keys, the tenant of a request, order at the gate, and the age of the
//! configuration.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damasktrack_admission::gate_report::FinishResult;
use damasktrack_forward::caller_key::{CarriedKey, KeyDigest};
use damasktrack_forward::config_check::{ConfigAge, confirmed_at};
use damasktrack_forward::config_text::ConfigText;
use damasktrack_forward::forward_core::{EntryDecision, ForwardCore, RepeatDecision, WorkDecision};
use damasktrack_forward::forward_settings::ForwardSettings;
use damasktrack_forward::peer_call::{self, CallHead};
use damasktrack_forward::route_config::{CallerLimits, RouteConfig, RouteKind, RouteRule, RouteTarget};
use damasktrack_forward::server_report::{ServerCondition, ServerReport};
use damasktrack_forward::tenant_config::{self, TenantRule, TenantTable};
use hyper::header::{HeaderMap, HeaderValue};
use tokio::sync::mpsc;

const SLOTS: u32 = 4;

fn name(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn settings(revoke_limit: Option<Duration>) -> ForwardSettings {
    ForwardSettings {
        revoke_limit,
        ..support::settings(address(1_003))
    }
}

fn tenant(text: &str) -> TenantRule {
    TenantRule {
        name: name(text),
        priority: None,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

fn route(allow_anonymous: bool, prefix: &'static str) -> RouteRule {
    RouteRule {
        name: name(prefix),
        host: name("site"),
        prefix: name(prefix),
        kind: RouteKind::Idempotent,
        timeout: None,
        latency_objective: None,
        priority: 3,
        allow_anonymous,
        targets: vec![RouteTarget {
            service: name("alpha"),
            weight: 1,
        }],
        max_attempts: 1,
    }
}

/// Returns a configuration with the key `key-0` of tenant `plum`, and an anonymous route.
fn config(tenants: Option<TenantTable>) -> RouteConfig {
    let limits = CallerLimits {
        max_header_bytes: 1_000,
        max_body_bytes: 1_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let config = RouteConfig::new(7, limits, vec![route(false, "/read/"), route(true, "/open/")]);
    match tenants {
        Some(tenants) => config.with_tenants(tenants),
        None => config,
    }
}

fn table() -> TenantTable {
    TenantTable::new([
        (tenant("plum"), vec![KeyDigest::of(b"key-0")]),
        (tenant("fig"), Vec::new()),
    ])
}

fn core(revoke_limit: Option<Duration>, now: Instant) -> ForwardCore {
    let (effects, _queue) = mpsc::unbounded_channel();
    ForwardCore::new(Rc::new(settings(revoke_limit)), effects, 1, 1, now, Duration::ZERO)
}

fn carried(keys: &[&'static str]) -> CarriedKey {
    let mut headers = HeaderMap::new();
    for key in keys {
        headers.append(support::CREDENTIAL, HeaderValue::from_static(key));
    }
    let key = CarriedKey::take(&mut headers, &support::CREDENTIAL);
    assert!(headers.is_empty());
    key
}

/// Returns the decision of a daemon about a request, shortened to a word or the name of the tenant.
fn decide(core: &mut ForwardCore, path: &str, keys: &[&'static str], at: Duration) -> String {
    match core.route_request("site", path, &carried(keys), at) {
        EntryDecision::Route { tenant, .. } => tenant.map_or("anonymous".to_owned(), |tenant| {
            String::from_utf8_lossy(&tenant.name).into_owned()
        }),
        EntryDecision::NoRoute => "no route".to_owned(),
        EntryDecision::NoConfig => "no config".to_owned(),
        EntryDecision::Unauthorized => "unauthorized".to_owned(),
        EntryDecision::Unconfirmed => "unconfirmed".to_owned(),
    }
}

/// Guards against a request that is served as a tenant's, or anonymously, without the key for it.
#[test]
fn key_selects_the_tenant() {
    let mut core = core(None, Instant::now());
    let at = Duration::ZERO;
    assert_eq!(decide(&mut core, "/read/1", &["key-0"], at), "no config");
    core.adopt_config(config(Some(table())), ConfigText::default(), Instant::now());
    for (path, keys, expected) in [
        ("/read/1", &["key-0"] as &[_], "plum"),
        ("/read/1", &[], "unauthorized"),
        ("/read/1", &["key-1"], "unauthorized"),
        ("/read/1", &["KEY-0"], "unauthorized"),
        ("/read/1", &["key-0", "key-0"], "unauthorized"),
        ("/open/1", &[], "anonymous"),
        ("/open/1", &["key-0"], "plum"),
        ("/open/1", &["key-1"], "unauthorized"),
        ("/open/1", &[""], "unauthorized"),
        ("/none/1", &[], "unauthorized"),
        ("/none/1", &["key-1"], "unauthorized"),
        ("/none/1", &["key-0"], "no route"),
    ] {
        assert_eq!(decide(&mut core, path, keys, at), expected, "{path} {keys:?}");
    }
}

/// Guards against a deployment without tenants that asks for keys, and against an empty list of tenants that asks for
/// none.
#[test]
fn keys_are_needed_only_with_tenants() {
    let mut core = core(None, Instant::now());
    core.adopt_config(config(None), ConfigText::default(), Instant::now());
    for keys in [&[] as &[_], &["key-0"], &["key-0", "key-1"]] {
        assert_eq!(decide(&mut core, "/read/1", keys, Duration::ZERO), "anonymous");
    }
    let mut core = self::core(None, Instant::now());
    core.adopt_config(
        config(Some(TenantTable::new([]))),
        ConfigText::default(),
        Instant::now(),
    );
    assert_eq!(decide(&mut core, "/read/1", &[], Duration::ZERO), "unauthorized");
    assert_eq!(decide(&mut core, "/open/1", &[], Duration::ZERO), "anonymous");
}

/// Guards against keys, or digests from which short keys can be guessed, in the debug output of the types that hold
/// them. A panic message shows such output.
#[test]
fn debug_output_has_no_key() {
    let digest = KeyDigest::of(b"key-0");
    let now = Instant::now();
    let mut core = core(None, now);
    let text = ConfigText::new(Bytes::from_static(b"{\"plum\":[\"key-0\"]}"));
    core.adopt_config(config(Some(table())), text.clone(), Instant::now());
    let outputs = [
        format!("{:?}", carried(&["key-0"])),
        format!("{:?}", carried(&["key-0", "key-0"])),
        format!("{digest:?}"),
        format!("{:?}", table()),
        format!("{text:?}"),
        format!("{core:?}"),
    ];
    for output in &outputs {
        assert!(!output.contains("key-0"), "{output}");
    }
    assert_eq!(outputs[2], "KeyDigest { .. }");
}

/// Guards against more series in the metrics than the bound.
#[test]
fn tenants_beyond_the_first_thousand_share_a_label() {
    let tenants = (0..1_200)
        .rev()
        .map(|number| (tenant(&format!("t-{number:04}")), Vec::new()));
    let table = TenantTable::new(tenants);
    let mut counts: HashMap<String, usize> = HashMap::new();
    for rule in table.iter() {
        *counts.entry(table.metric_label(&rule.name)).or_default() += 1;
    }
    assert_eq!((table.len(), counts.len(), counts["other"]), (1_200, 1_001, 200));
    assert_eq!(table.metric_label(&name("t-0999")), "t-0999");
    assert_eq!(table.metric_label(&name("t-1000")), "other");
}

/// Guards against a tenant whose priority has no effect, and one without a priority that changes that of the route.
#[test]
fn priority_of_the_tenant_replaces_that_of_the_route() {
    let route = route(false, "/read/");
    let important = TenantRule {
        priority: Some(0),
        ..tenant("plum")
    };
    assert_eq!(tenant_config::priority(&route, Some(&important)), 0);
    assert_eq!(tenant_config::priority(&route, Some(&tenant("plum"))), 3);
    assert_eq!(tenant_config::priority(&route, None), 3);
}

fn head(tenant: Option<&str>, priority: u8) -> CallHead {
    CallHead {
        service: name("alpha"),
        class: name("read"),
        priority,
        repeatable: true,
        left: Duration::from_secs(5),
        caller_service: name("beta"),
        hint: None,
        tenant: tenant.map(name),
    }
}

/// Guards against calls of daemons of earlier builds, which have no tenant, that can't be decoded, and against calls
/// without a tenant that an earlier build can't decode.
#[test]
fn call_head_is_compatible_with_earlier_builds() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    struct EarlierHead {
        service: Bytes,
        class: Bytes,
        priority: u8,
        repeatable: bool,
        left: Duration,
        caller_service: Bytes,
        hint: Option<damasktrack_forward::server_hint::ServerHint>,
    }
    let earlier = EarlierHead {
        service: name("alpha"),
        class: name("read"),
        priority: 2,
        repeatable: true,
        left: Duration::from_secs(5),
        caller_service: name("beta"),
        hint: None,
    };
    let text = peer_call::encode(&earlier).unwrap();
    assert_eq!(peer_call::decode::<CallHead>(text.as_bytes()), Some(head(None, 2)));
    let text = peer_call::encode(&head(None, 2)).unwrap();
    assert_eq!(peer_call::decode::<EarlierHead>(text.as_bytes()), Some(earlier));
    let text = peer_call::encode(&head(Some("plum"), 2)).unwrap();
    assert_eq!(
        peer_call::decode::<CallHead>(text.as_bytes()),
        Some(head(Some("plum"), 2))
    );
}

/// Backend server with all slots taken by calls of tenant `large`, which has 40 more calls queued.
struct BusyGate {
    core: ForwardCore,
    now: Instant,
    /// Running calls, oldest first.
    running: std::collections::VecDeque<u64>,
    /// Queued calls, by tenant and priority, with the receiver of their permit.
    waiting: Vec<(String, WaitingCall)>,
}

type WaitingCall = (
    u64,
    tokio::sync::oneshot::Receiver<
        Result<damasktrack_forward::forward_core::WorkPermit, damasktrack_entity::call_outcome::RefusalReason>,
    >,
);

impl BusyGate {
    fn new() -> Self {
        let now = Instant::now();
        let mut core = core(None, now);
        core.merge_members(&[], now);
        let report = ServerReport {
            instance: name("i-1"),
            service: name("alpha"),
            started_ms: 10,
            sequence: 1,
            slots: SLOTS,
            condition: ServerCondition::Ready,
            cold_left: Duration::ZERO,
        };
        core.apply_server_report(report, now);
        let mut gate = Self {
            core,
            now,
            running: std::collections::VecDeque::new(),
            waiting: Vec::new(),
        };
        for _call in 0..SLOTS + 40 {
            gate.offer(Some("large"), 3);
        }
        assert_eq!((gate.running.len(), gate.waiting.len()), (4, 40));
        gate
    }

    fn offer(&mut self, tenant: Option<&str>, priority: u8) {
        let head = head(tenant, priority);
        match self.core.offer_work(&head, self.now + head.left, self.now) {
            WorkDecision::Start(permit) => self.running.push_back(permit.call),
            WorkDecision::Wait(call, receiver) => {
                let label = format!("{}-{priority}", tenant.unwrap_or("none"));
                self.waiting.push((label, (call, receiver)));
            }
            WorkDecision::Refuse(reason) => panic!("{reason}"),
        }
    }

    /// Ends running calls one after the other, each 1 ms after the one before, and returns the tenants and priorities
    /// of the calls that start.
    fn end(&mut self, calls: usize) -> Vec<String> {
        let mut started = Vec::new();
        for _call in 0..calls {
            self.now += Duration::from_millis(1);
            let ended = self.running.pop_front().unwrap();
            self.core.end_work(ended, FinishResult::Completed, self.now);
            let running = &mut self.running;
            self.waiting
                .retain_mut(|(label, (call, receiver))| match receiver.try_recv() {
                    Ok(permit) => {
                        permit.unwrap();
                        running.push_back(*call);
                        started.push(label.clone());
                        false
                    }
                    Err(_pending) => true,
                });
        }
        started
    }
}

/// Guards against a tenant whose queue delays the calls of the others: its 40 calls came first, and without turns all
/// of them would start first.
#[test]
fn queued_calls_of_tenants_take_turns() {
    let mut gate = BusyGate::new();
    for _call in 0..5 {
        gate.offer(Some("small"), 3);
    }
    let started = gate.end(12);
    assert_eq!(started.len(), 12);
    assert_eq!(
        started.iter().filter(|label| *label == "small-3").count(),
        5,
        "{started:?}"
    );
    // The share of the idle tenant is available to the other one at once.
    assert_eq!(gate.end(6), ["large-3"; 6]);
}

/// Guards against calls of the default tenant, such as nested calls, that wait behind those of a tenant.
#[test]
fn calls_without_a_tenant_take_turns_as_one() {
    let mut gate = BusyGate::new();
    for _call in 0..5 {
        gate.offer(None, 3);
    }
    let started = gate.end(12);
    assert_eq!(
        started.iter().filter(|label| *label == "none-3").count(),
        5,
        "{started:?}"
    );
}

/// Guards against turns of tenants that go before the importance of calls.
#[test]
fn important_calls_start_before_the_turns_of_tenants() {
    let mut gate = BusyGate::new();
    gate.offer(Some("small"), 3);
    for _call in 0..4 {
        gate.offer(Some("large"), 1);
    }
    let started = gate.end(8);
    assert_eq!(started[..4], ["large-1"; 4]);
    assert!(started[4..].contains(&"small-3".to_owned()), "{started:?}");
}

/// Guards against keys that stay in force although the daemon can't learn of their end, and against a daemon that
/// refuses them longer than until the next confirmation.
#[test]
fn keys_are_refused_without_a_recent_confirmation() {
    let ms = Duration::from_millis;
    let mut core = core(Some(ms(9_000)), Instant::now());
    core.adopt_config(config(Some(table())), ConfigText::default(), Instant::now());
    assert_eq!(decide(&mut core, "/read/1", &["key-0"], ms(0)), "unconfirmed");
    core.confirm_config(ms(1_000));
    // A reply that was delayed does not replace a later confirmation.
    core.confirm_config(ms(500));
    assert_eq!(decide(&mut core, "/read/1", &["key-0"], ms(9_999)), "plum");
    for (path, keys, expected) in [
        ("/read/1", &["key-0"] as &[_], "unconfirmed"),
        ("/read/1", &["key-1"], "unconfirmed"),
        ("/open/1", &["key-0"], "unconfirmed"),
        ("/open/1", &[], "anonymous"),
        ("/read/1", &[], "unauthorized"),
    ] {
        assert_eq!(decide(&mut core, path, keys, ms(10_000)), expected, "{path} {keys:?}");
    }
    core.confirm_config(ms(10_500));
    assert_eq!(decide(&mut core, "/read/1", &["key-0"], ms(10_600)), "plum");
}

/// Guards against a deployment without a limit on the age of a confirmation that refuses keys while the store is away.
#[test]
fn keys_are_served_without_a_confirmation_by_default() {
    let mut core = core(None, Instant::now());
    core.adopt_config(config(Some(table())), ConfigText::default(), Instant::now());
    for hours in [0, 1, 1_000] {
        assert_eq!(
            decide(&mut core, "/read/1", &["key-0"], Duration::from_hours(hours)),
            "plum"
        );
    }
}

/// Guards against peers that confirm each other's configuration without the store, and against a confirmation of a
/// version that is newer than the daemon's own.
#[test]
fn confirmation_of_a_peer_is_as_old_as_that_of_the_store() {
    let s = Duration::from_secs;
    let reply = |version, age| ConfigAge { version, age };
    assert_eq!(confirmed_at(7, reply(7, Some(s(3))), s(100)), Some(s(97)));
    assert_eq!(confirmed_at(7, reply(6, Some(s(3))), s(100)), Some(s(97)));
    assert_eq!(confirmed_at(7, reply(8, Some(s(3))), s(100)), None);
    assert_eq!(confirmed_at(7, reply(7, None), s(100)), None);
    assert_eq!(confirmed_at(7, reply(7, Some(s(101))), s(100)), None);
}

/// Guards against a tenant with failing requests that uses up the retries of another one at the same service, and
/// against retries withheld at a service where no other tenant asks.
#[test]
fn retries_of_a_service_take_turns_between_tenants() {
    let now = Instant::now();
    let mut core = core(None, now);
    let [service, unshared] = [Bytes::from_static(b"stock"), Bytes::from_static(b"price")];
    let [failing, other] = [Bytes::from_static(b"plum"), Bytes::from_static(b"pear")];
    let mut counts = [0; 3];
    for step in 0..1_000_u32 {
        let now = now + Duration::from_millis(10) * step;
        core.count_request(&service, now);
        core.count_request(&unshared, now);
        let asks = [(&service, &other), (&service, &failing), (&unshared, &failing)];
        for (count, (service, tenant)) in counts.iter_mut().zip(asks) {
            *count += u32::from(core.may_repeat(service, Some(tenant), now) == RepeatDecision::Allowed);
        }
    }
    println!("{counts:?}");
    let [other, failing, alone] = counts;
    assert!(failing > 0 && other.abs_diff(failing) <= 1, "{counts:?}");
    assert!(alone.abs_diff(other + failing) <= 1, "{counts:?}");
}
