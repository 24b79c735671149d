//! Client of the platform's table service and object store. Its calls block and must run on worker threads.

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

/// Maximum number of calls in flight; 760 daemons share a store that serves about 2,000 reads/s.
const MAX_IN_FLIGHT: usize = 4;
/// Time limit of one call.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Bound on the wait for a permit to send a call.
const PERMIT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum size of a response body; a listing of 1,000 large rows stays below it.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// The call took effect.
    Ok(T),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// Nothing was sent, or the store refused the call for its rate; nothing was written.
    Unavailable,
    /// No usable response arrived; a write may have taken effect or may still do so.
    Unsettled,
}

/// Rows of a listing in key order.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct RowList {
    /// Rows with keys above [`ListQuery::after`], at most [`ListQuery::limit`].
    pub rows: Vec<ListedRow>,
    /// Whether further rows match the query.
    pub more: bool,
}

/// Row of a listing.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct ListedRow {
    /// Key of the row within its table.
    pub key: String,
    /// JSON document of the row.
    pub value: serde_json::Value,
    /// Version of the row, set by the commit that wrote it.
    pub version: store_rows::RowVersion,
}

/// Selection of the rows to list.
#[derive(Clone, Copy, Debug)]
pub struct ListQuery<'a> {
    /// Name of the table.
    pub table: &'a str,
    /// Prefix that the keys must have; empty for all rows.
    pub prefix: &'a str,
    /// Only keys above this one are listed; empty for the first page.
    pub after: &'a str,
    /// Maximum number of rows to return.
    pub limit: usize,
}

#[derive(Debug, Default)]
struct CallLimiter {
    in_flight: usize,
    circuit: store_circuit::StoreCircuit,
}

/// Client of the store, with a bound on concurrent calls and a circuit breaker.
#[derive(Debug)]
pub struct StoreClient {
    address: net::SocketAddr,
    agent: ureq::Agent,
    limiter: sync::Mutex<CallLimiter>,
    permit_freed: sync::Condvar,
    bytes: sync::Arc<byte_count::ByteCount>,
}

/// Response before it is decoded.
struct RawResponse {
    status: u16,
    body: Vec<u8>,
}

impl StoreClient {
    /// Creates a client; it opens no connection before the first call.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            agent: http_agent::new_agent(MAX_IN_FLIGHT),
            limiter: sync::Mutex::new(CallLimiter::default()),
            permit_freed: sync::Condvar::new(),
            bytes: sync::Arc::default(),
        }
    }

    /// Returns the byte count of the calls; it covers paths and bodies, without headers.
    #[must_use]
    pub fn bytes(&self) -> &sync::Arc<byte_count::ByteCount> {
        &self.bytes
    }

    /// Commits a transaction and returns the version that its rows receive.
    pub fn commit(&self, commit: &store_rows::TableCommit) -> StoreReply<store_rows::RowVersion> {
        #[derive(serde::Deserialize)]
        struct Committed {
            version: store_rows::RowVersion,
        }
        let body = serde_json::json!(commit).to_string().into_bytes();
        match self.call("POST", "/table/commit", body) {
            StoreReply::Ok(response) if response.status == 409 => StoreReply::Conflict,
            StoreReply::Ok(response) => {
                // A commit whose response can't be decoded has taken effect, but its version is not known.
                let version = serde_json::from_slice::<Committed>(&response.body);
                version.map_or(StoreReply::Unsettled, |committed| StoreReply::Ok(committed.version))
            }
            other => other.into_failure(),
        }
    }

    /// Reads a row; `Ok(None)` if it does not exist.
    pub fn get<T: serde::de::DeserializeOwned>(
        &self,
        table: &str,
        key: &str,
    ) -> StoreReply<Option<store_rows::StoredRow<T>>> {
        let path = format!("/table/get?table={}&key={}", percent_encode(table), percent_encode(key));
        match self.call("GET", &path, Vec::new()) {
            StoreReply::Ok(response) if response.status == 404 => StoreReply::Ok(None),
            StoreReply::Ok(response) => read_json(&response.body).map_value(Some),
            other => other.into_failure(),
        }
    }

    /// Lists one page of rows.
    pub fn list(&self, query: ListQuery<'_>) -> StoreReply<RowList> {
        let path = format!(
            "/table/list?table={}&prefix={}&after={}&limit={}",
            percent_encode(query.table),
            percent_encode(query.prefix),
            percent_encode(query.after),
            query.limit
        );
        match self.call("GET", &path, Vec::new()) {
            StoreReply::Ok(response) if response.status == 200 => read_json(&response.body),
            StoreReply::Ok(_) => StoreReply::Unsettled,
            other => other.into_failure(),
        }
    }

    /// Lists the versions of all rows of a table, by key, page by page.
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
                other => return other.into_failure(),
            };
            versions.extend(page.rows.iter().map(|row| (row.key.clone(), row.version)));
            match page.rows.into_iter().next_back() {
                Some(row) if page.more => after = row.key,
                _ => return StoreReply::Ok(versions),
            }
        }
    }

    /// Writes an object of the object store.
    pub fn put_object(&self, key: &str, content: Vec<u8>) -> StoreReply<()> {
        match self.call("PUT", &format!("/object/{key}"), content) {
            StoreReply::Ok(response) if response.status < 300 => StoreReply::Ok(()),
            StoreReply::Ok(_) => StoreReply::Unsettled,
            other => other.into_failure(),
        }
    }

    /// Reads an object; `Ok(None)` if it does not exist.
    pub fn get_object(&self, key: &str) -> StoreReply<Option<Bytes>> {
        match self.call("GET", &format!("/object/{key}"), Vec::new()) {
            StoreReply::Ok(response) if response.status == 200 => StoreReply::Ok(Some(Bytes::from(response.body))),
            StoreReply::Ok(response) if response.status == 404 => StoreReply::Ok(None),
            StoreReply::Ok(_) => StoreReply::Unsettled,
            other => other.into_failure(),
        }
    }

    /// Sends one call and reports its result to the circuit breaker. `Ok` holds a response with status 200, 201, 204,
    /// 404 or 409.
    fn call(&self, method: &str, path: &str, body: Vec<u8>) -> StoreReply<RawResponse> {
        if !self.acquire() {
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
            Ok(response) if matches!(response.status, 200 | 201 | 204 | 404 | 409) => (StoreReply::Ok(response), true),
            Ok(response) if response.status == 429 => (StoreReply::Unavailable, false),
            // Only status 429, the refusal for the rate, guarantees that the call had no effect.
            Ok(response) => {
                log::debug!(status = response.status; "the store answered with an error status");
                (StoreReply::Unsettled, false)
            }
            Err(error) => {
                log::debug!(error:% = error; "call to the store failed");
                let reply = if report.sent {
                    StoreReply::Unsettled
                } else {
                    StoreReply::Unavailable
                };
                (reply, false)
            }
        };
        self.release(healthy);
        reply
    }

    fn exchange(&self, method: &str, path: &str, body: Vec<u8>) -> Result<RawResponse, ureq::Error> {
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
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()?;
        self.bytes.add(0, body.len());
        Ok(RawResponse { status, body })
    }

    /// Waits for a permit to send a call. Returns false if none became free within [`PERMIT_TIMEOUT`], or if the
    /// circuit is open.
    fn acquire(&self) -> bool {
        let deadline = time::Instant::now() + PERMIT_TIMEOUT;
        let mut limiter = self.lock();
        while limiter.in_flight >= MAX_IN_FLIGHT {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.permit_freed.wait_timeout(limiter, remaining);
            limiter = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        if limiter.circuit.admit(time::Instant::now()) == store_circuit::CircuitStep::Refuse {
            // The permit stays free, so it is passed to the next waiting call.
            self.permit_freed.notify_one();
            return false;
        }
        limiter.in_flight += 1;
        true
    }

    /// Releases the permit of a call; `healthy` is whether the store answered without an error.
    fn release(&self, healthy: bool) {
        let mut limiter = self.lock();
        limiter.in_flight -= 1;
        if healthy {
            limiter.circuit.record_success();
        } else {
            limiter.circuit.record_failure(time::Instant::now(), rand::random());
        }
        drop(limiter);
        self.permit_freed.notify_one();
    }

    fn lock(&self) -> sync::MutexGuard<'_, CallLimiter> {
        // No code that can panic runs while the lock is held.
        self.limiter.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl<T> StoreReply<T> {
    fn map_value<U>(self, map: impl FnOnce(T) -> U) -> StoreReply<U> {
        match self {
            Self::Ok(value) => StoreReply::Ok(map(value)),
            other => other.into_failure(),
        }
    }

    /// Converts a failure to a reply of another value type.
    fn into_failure<U>(self) -> StoreReply<U> {
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
fn percent_encode(value: &str) -> String {
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
