//! Client of the platform's table service and object store. Its calls block, so they run on worker threads.

use std::collections;
use std::fmt::Write as _;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use damasktrack_resource::store_rows;

use crate::call::byte_count;
use crate::call::call_watch;
use crate::store::store_circuit;
use crate::transport::http_agent;

/// Calls in flight; 760 daemons share a store that does about 2,000 reads/s.
const MAX_IN_FLIGHT: usize = 4;
/// Time for one call.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Longest wait for one of the places in flight.
const PLACE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Longest answer; a listing of 1,000 large rows stays below it.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// The call took effect.
    Ok(T),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// Nothing was sent, or the store refused the call for its rate; nothing was written.
    Unavailable,
    /// No usable answer came; a write may have taken effect, or may still.
    Unsettled,
}

/// Rows of a listing in key order.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct RowList {
    /// Rows.
    pub rows: Vec<ListedRow>,
    /// Whether rows follow.
    pub more: bool,
}

/// Row of a listing.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ListedRow {
    /// Key.
    pub key: String,
    /// Document.
    pub value: serde_json::Value,
    /// Commit that wrote the row.
    pub version: store_rows::RowVersion,
}

/// Selection of rows.
#[derive(Clone, Copy, Debug)]
pub struct ListQuery<'a> {
    /// Table.
    pub table: &'a str,
    /// Start of the keys.
    pub prefix: &'a str,
    /// Keys after this one.
    pub after: &'a str,
    /// Most rows.
    pub limit: usize,
}

#[derive(Debug, Default)]
struct CallGate {
    in_flight: usize,
    circuit: store_circuit::StoreCircuit,
}

/// Client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: net::SocketAddr,
    agent: ureq::Agent,
    gate: sync::Mutex<CallGate>,
    freed: sync::Condvar,
    bytes: sync::Arc<byte_count::ByteCount>,
}

/// Answer as it came.
struct RawAnswer {
    status: u16,
    body: Vec<u8>,
}

impl StoreClient {
    /// Creates a client.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            agent: http_agent::new_agent(MAX_IN_FLIGHT),
            gate: sync::Mutex::new(CallGate::default()),
            freed: sync::Condvar::new(),
            bytes: sync::Arc::default(),
        }
    }

    /// Returns the bytes of paths and bodies.
    #[must_use]
    pub fn bytes(&self) -> &sync::Arc<byte_count::ByteCount> {
        &self.bytes
    }

    /// Commits a transaction.
    pub fn commit(&self, commit: &store_rows::TableCommit) -> StoreReply<store_rows::RowVersion> {
        #[derive(serde::Deserialize)]
        struct Committed {
            version: store_rows::RowVersion,
        }
        let body = serde_json::json!(commit).to_string().into_bytes();
        match self.call("POST", "/table/commit", body) {
            StoreReply::Ok(answer) if answer.status == 409 => StoreReply::Conflict,
            StoreReply::Ok(answer) => {
                // A commit whose answer can't be read has taken effect.
                let version = serde_json::from_slice::<Committed>(&answer.body);
                version.map_or(StoreReply::Unsettled, |committed| StoreReply::Ok(committed.version))
            }
            other => other.without_value(),
        }
    }

    /// Reads a row.
    pub fn get<T: serde::de::DeserializeOwned>(
        &self,
        table: &str,
        key: &str,
    ) -> StoreReply<Option<store_rows::StoredRow<T>>> {
        let path = format!("/table/get?table={}&key={}", escape(table), escape(key));
        match self.call("GET", &path, Vec::new()) {
            StoreReply::Ok(answer) if answer.status == 404 => StoreReply::Ok(None),
            StoreReply::Ok(answer) => read_json(&answer.body).map_value(Some),
            other => other.without_value(),
        }
    }

    /// Lists rows.
    pub fn list(&self, query: ListQuery<'_>) -> StoreReply<RowList> {
        let path = format!(
            "/table/list?table={}&prefix={}&after={}&limit={}",
            escape(query.table),
            escape(query.prefix),
            escape(query.after),
            query.limit
        );
        match self.call("GET", &path, Vec::new()) {
            StoreReply::Ok(answer) if answer.status == 200 => read_json(&answer.body),
            StoreReply::Ok(_) => StoreReply::Unsettled,
            other => other.without_value(),
        }
    }

    /// Lists all versions of a table, by key.
    pub fn list_versions(&self, table: &str) -> StoreReply<collections::HashMap<String, store_rows::RowVersion>> {
        let mut versions = collections::HashMap::new();
        let mut after = String::new();
        loop {
            let page = self.list(ListQuery {
                table,
                prefix: "",
                after: &after,
                limit: 1000,
            });
            let page = match page {
                StoreReply::Ok(page) => page,
                other => return other.without_value(),
            };
            versions.extend(page.rows.iter().map(|row| (row.key.clone(), row.version)));
            match page.rows.into_iter().next_back() {
                Some(row) if page.more => after = row.key,
                _ => return StoreReply::Ok(versions),
            }
        }
    }

    /// Writes an object.
    pub fn put_object(&self, key: &str, content: Vec<u8>) -> StoreReply<()> {
        match self.call("PUT", &format!("/object/{key}"), content) {
            StoreReply::Ok(answer) if answer.status < 300 => StoreReply::Ok(()),
            StoreReply::Ok(_) => StoreReply::Unsettled,
            other => other.without_value(),
        }
    }

    /// Reads an object.
    pub fn get_object(&self, key: &str) -> StoreReply<Option<Bytes>> {
        match self.call("GET", &format!("/object/{key}"), Vec::new()) {
            StoreReply::Ok(answer) if answer.status == 200 => StoreReply::Ok(Some(Bytes::from(answer.body))),
            StoreReply::Ok(answer) if answer.status == 404 => StoreReply::Ok(None),
            StoreReply::Ok(_) => StoreReply::Unsettled,
            other => other.without_value(),
        }
    }

    /// Makes one call. `Ok` holds an answer with status 200, 201, 204, 404 or 409.
    fn call(&self, method: &str, path: &str, body: Vec<u8>) -> StoreReply<RawAnswer> {
        if !self.enter() {
            return StoreReply::Unavailable;
        }
        let watch = call_watch::CallWatch {
            deadline: time::Instant::now() + CALL_TIMEOUT,
            silence_timeout: None,
            cancelled: call_watch::CancelFlag::default(),
            poll_interval: call_watch::POLL_INTERVAL,
            on_wait: Box::new(|| call_watch::WatchStep::Continue),
        };
        let (result, report) = call_watch::run(watch, || self.exchange(method, path, body));
        let (reply, healthy) = match result {
            Ok(answer) if matches!(answer.status, 200 | 201 | 204 | 404 | 409) => (StoreReply::Ok(answer), true),
            Ok(answer) if answer.status == 429 => (StoreReply::Unavailable, false),
            // Only a refusal for the rate is promised to have had no effect.
            Ok(answer) => {
                log::debug!(status = answer.status; "the store answered with an error");
                (StoreReply::Unsettled, false)
            }
            Err(error) => {
                log::debug!(error:% = error; "the store did not answer");
                let reply = if report.sent {
                    StoreReply::Unsettled
                } else {
                    StoreReply::Unavailable
                };
                (reply, false)
            }
        };
        self.leave(healthy);
        reply
    }

    fn exchange(&self, method: &str, path: &str, body: Vec<u8>) -> Result<RawAnswer, ureq::Error> {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        self.bytes.add(path.len() + body.len(), 0);
        let mut response = if method == "GET" {
            self.agent.run(request.body(()).map_err(ureq::Error::Http)?)?
        } else {
            self.agent.run(request.body(body).map_err(ureq::Error::Http)?)?
        };
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()?;
        self.bytes.add(0, body.len());
        Ok(RawAnswer { status, body })
    }

    /// Waits for a place in flight; returns whether the call may be sent.
    fn enter(&self) -> bool {
        let end = time::Instant::now() + PLACE_TIMEOUT;
        let mut gate = self.lock();
        while gate.in_flight >= MAX_IN_FLIGHT {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.freed.wait_timeout(gate, left);
            gate = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        if gate.circuit.admit(time::Instant::now()) == store_circuit::CircuitStep::Refuse {
            // The next waiting call finds the same place free.
            self.freed.notify_one();
            return false;
        }
        gate.in_flight += 1;
        true
    }

    fn leave(&self, healthy: bool) {
        let mut gate = self.lock();
        gate.in_flight -= 1;
        if healthy {
            gate.circuit.succeed();
        } else {
            gate.circuit.fail(time::Instant::now(), rand::random());
        }
        drop(gate);
        self.freed.notify_one();
    }

    fn lock(&self) -> sync::MutexGuard<'_, CallGate> {
        // No code that can panic runs while the lock is held.
        self.gate.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl<T> StoreReply<T> {
    fn map_value<U>(self, map: impl FnOnce(T) -> U) -> StoreReply<U> {
        match self {
            Self::Ok(value) => StoreReply::Ok(map(value)),
            other => other.without_value(),
        }
    }

    /// Returns the same failure for another type of value.
    fn without_value<U>(self) -> StoreReply<U> {
        match self {
            Self::Ok(_) | Self::Unsettled => StoreReply::Unsettled,
            Self::Conflict => StoreReply::Conflict,
            Self::Unavailable => StoreReply::Unavailable,
        }
    }
}

fn read_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> StoreReply<T> {
    match serde_json::from_slice(body) {
        Ok(value) => StoreReply::Ok(value),
        Err(error) => {
            log::error!(error:% = error; "a document of the store can't be read");
            StoreReply::Unsettled
        }
    }
}

/// Percent-encodes a query value.
fn escape(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/".contains(&byte) {
            text.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _infallible = write!(text, "%{byte:02X}");
        }
    }
    text
}
