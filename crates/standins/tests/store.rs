//! Tests of the store stand-in: rows, rate limit and faults.

use std::net;
use std::time;

use damasktrack_standins::{store_faults, store_server, table_store, token_bucket};
use serde_json::{Value, json};

fn put(key: &str, value: &Value, version: u64) -> table_store::CommitRequest {
    let request = json!({
        "conditions": [{ "table": "t", "key": key, "version": version }],
        "writes": [{ "table": "t", "key": key, "value": value }],
    });
    serde_json::from_value(request).unwrap()
}

/// Guards against a commit that is applied in part, and against a condition on an absent row that holds.
#[test]
fn commits_are_conditional_and_atomic() {
    let mut store = table_store::TableStore::default();
    assert_eq!(
        store.commit(put("a", &json!(1), 0)),
        table_store::CommitResult::Committed(1)
    );
    let mut both = put("b", &json!(2), 0);
    both.conditions.extend(put("a", &json!(0), 0).conditions);
    let conflict = table_store::RowCondition {
        table: "t".to_owned(),
        key: "a".to_owned(),
        version: 1,
    };
    assert_eq!(store.commit(both), table_store::CommitResult::Conflict(vec![conflict]));
    assert_eq!(store.get("t", "b"), None);
    assert_eq!(
        store.commit(put("a", &Value::Null, 1)),
        table_store::CommitResult::Committed(2)
    );
    assert_eq!(store.version("t", "a"), 0);
    assert_eq!(
        store.commit(put("a", &json!(3), 0)),
        table_store::CommitResult::Committed(3)
    );
    assert_eq!(
        store.get_at("t", "a", 1).map(|row| row.value),
        Some(json!(1)),
        "old versions serve stale reads"
    );
}

/// Guards against pages that skip or repeat rows, or contain rows of another prefix.
#[test]
fn listings_continue_after_a_key() {
    let mut store = table_store::TableStore::default();
    for key in ["m/1", "m/2", "m/3", "n/1"] {
        store.commit(put(key, &json!(key), 0));
    }
    let mut query = table_store::ListQuery {
        table: "t".to_owned(),
        prefix: "m/".to_owned(),
        after: String::new(),
        limit: 2,
    };
    let mut keys = Vec::new();
    loop {
        let page = store.list(&query);
        keys.extend(page.rows.iter().map(|row| row.key.clone()));
        if !page.more {
            break;
        }
        query.after = page.rows.last().unwrap().key.clone();
    }
    assert_eq!(keys, ["m/1", "m/2", "m/3"]);
}

/// Guards against a limiter that admits less than its rate or more than its rate and one burst of 200 ms.
#[test]
fn rate_bounds_the_requests() {
    let start = time::Instant::now();
    let mut bucket = token_bucket::TokenBucket::new(500.0, start);
    let passed = (0..10_000_u32)
        .filter(|step| bucket.take(1.0, start + time::Duration::from_micros(u64::from(*step) * 100)))
        .count();
    assert!((500..=601).contains(&passed), "{passed}");
}

/// Guards against fault draws that a seed does not reproduce, and against rules that apply more often than `next`.
#[test]
fn faults_repeat_with_their_seed() {
    let rule: store_faults::FaultRule =
        serde_json::from_value(json!({ "kind": "lose_answer", "probability": 0.5, "seed": 7, "next": 5 })).unwrap();
    let draws = || {
        let mut table = store_faults::FaultTable::default();
        table.add(rule.clone());
        (0..100).map(|_| table.draw(true).lose_answer).collect::<Vec<_>>()
    };
    assert_eq!(draws(), draws());
    assert_eq!(draws().iter().filter(|hit| **hit).count(), 5);
}

struct Client {
    agent: ureq::Agent,
    base: String,
}

impl Client {
    fn new(address: net::SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(time::Duration::from_secs(2)))
            .build();
        Self {
            agent: ureq::Agent::new_with_config(config),
            base: format!("http://{address}"),
        }
    }

    /// Returns status and body, or `None` if there is no response within the timeout.
    fn post(&self, path: &str, body: &Value) -> Option<(u16, Value)> {
        let response = self.agent.post(format!("{}{path}", self.base)).send(body.to_string());
        response.ok().map(read)
    }

    fn get(&self, path: &str) -> Option<(u16, Value)> {
        let response = self.agent.get(format!("{}{path}", self.base)).call();
        response.ok().map(read)
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> (u16, Value) {
    let text = response.body_mut().read_to_string().unwrap();
    (
        response.status().as_u16(),
        serde_json::from_str(&text).unwrap_or(Value::Null),
    )
}

/// Guards against faults with the wrong effect: a lost request must not take effect, while a request whose response is
/// lost must.
#[test]
fn faults_over_http() {
    let rates = store_server::StoreRates {
        writes: 0.0,
        reads: 0.0,
    };
    let server = store_server::StoreServer::start("127.0.0.1:0".parse().unwrap(), rates).unwrap();
    let client = Client::new(server.address());
    let commit = |key: &str| client.post("/table/commit", &json!(put(key, &json!({ "k": key }), 0)));
    let status_of = |key: &str| client.get(&format!("/table/get?table=t&key={key}")).unwrap().0;

    assert_eq!(commit("a"), Some((200, json!({ "version": 1 }))));
    assert_eq!(commit("a").unwrap().0, 409);
    client.post("/control/fault", &json!({ "kind": "lose_request", "next": 1 }));
    assert_eq!(commit("b"), None);
    assert_eq!(status_of("b"), 404);
    client.post(
        "/control/fault",
        &json!({ "kind": "lose_answer", "next": 1, "scope": "writes" }),
    );
    assert_eq!(commit("c"), None);
    assert_eq!(status_of("c"), 200);
    client.post("/control/fault", &json!({ "kind": "stale", "next": 1 }));
    assert_eq!(status_of("c"), 404, "the state before the last commit");
    client.post("/control/fault", &json!({ "kind": "down" }));
    assert_eq!(commit("d").unwrap().0, 503);
    client.post("/control/fault", &json!({ "kind": "up" }));
    assert_eq!(status_of("d"), 404);
    let stats = client.get("/control/stats").unwrap().1;
    assert_eq!(stats["commits"], json!(2));
    assert_eq!(stats["conflicts"], json!(1));
    assert_eq!(stats["unanswered"], json!(2));
    server.stop();
}

/// Guards against a body that is cut without an error, so that a test takes the part for the whole.
#[test]
fn body_over_the_limit_is_refused() {
    let rates = store_server::StoreRates {
        writes: 0.0,
        reads: 0.0,
    };
    let server = store_server::StoreServer::start("127.0.0.1:0".parse().unwrap(), rates).unwrap();
    // Without the time limit of `Client`, since 64 MiB may take longer on a busy machine.
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent = ureq::Agent::new_with_config(config);
    let url = format!("http://{}/object/large", server.address());
    let response = agent.put(url).send(vec![b'a'; 64 * 1024 * 1024 + 1]).unwrap();
    assert_eq!(response.status().as_u16(), 413);
}
