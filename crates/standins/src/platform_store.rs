//! Stand-in for the platform's store: rows in tables with parts, conditional transactions, and a feed of changes.

use std::collections;
use std::io;
use std::io::BufReader;
use std::net;
use std::sync;
use std::thread;
use std::time;

use base64::Engine;
use serde_json::Value;
use serde_json::json;

use crate::http_exchange;
use crate::http_query;

/// Most rows in one response of `/rows-get`.
const MAX_ROWS: usize = 500;

/// Delay of each request under [`StoreCondition::Slow`].
const SLOW_DELAY: time::Duration = time::Duration::from_millis(2500);

/// Response header with the number of times that the store was restored from a copy.
const STORE_ERA: &str = "Store-Era";

/// Table, part and key of a row, which order the rows.
type RowId = (String, String, String);

/// How the store handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// Requests are executed.
    #[default]
    Serving,
    /// Each request gets status 503 and has no effect.
    Busy,
    /// The connection is closed when a request arrives; the request has no effect and gets no response.
    Closing,
    /// Requests have no effect and get no response, and their connections deliver nothing further.
    Silent,
    /// Requests are executed, but their responses are lost, and their connections deliver nothing further.
    LosingResponses,
    /// Each request is executed after [`SLOW_DELAY`].
    Slow,
}

#[derive(Debug, Default)]
struct StoreState {
    /// Value in Base64 and version of each row.
    rows: collections::BTreeMap<RowId, (String, u64)>,
    /// Row, new value and version of each change, oldest first; the value `None` means that the row was removed.
    history: Vec<(RowId, Option<String>, u64)>,
    /// Version of the last change that [`PlatformStore::compact`] removed from `history`; 0 before that.
    compacted_version: u64,
    /// Version of the last change.
    version: u64,
    condition: StoreCondition,
    calls: u64,
    /// Number of restores, in the header [`STORE_ERA`] of all responses.
    era: u64,
    /// Number of connections accepted since the start; also the number of the newest one.
    connections: u64,
    /// Connections up to this number deliver nothing further.
    muted: u64,
}

/// Contents of a store at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: collections::BTreeMap<RowId, (String, u64)>,
    history: Vec<(RowId, Option<String>, u64)>,
    compacted_version: u64,
    version: u64,
}

/// A running store; clones share its state. Its threads end with the process.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    address: net::SocketAddr,
    shared: sync::Arc<(sync::Mutex<StoreState>, sync::Condvar)>,
}

/// Commands.
impl PlatformStore {
    /// Starts a store at this address.
    ///
    /// # Errors
    /// Returns the error of the listening socket.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            shared: sync::Arc::default(),
        };
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = acceptor.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Writes a row with an empty part, as an operator does. Unlike `/rows-tx`, it can also write to the tables `op`
    /// and `servers`.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        self.put_value(table, key, &base64::engine::general_purpose::STANDARD.encode(text));
    }

    /// Writes a row as [`Self::put`] does, with a value that need not be base64.
    pub fn put_value(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.write(
            (table.to_owned(), String::new(), key.to_owned()),
            Some(value.to_owned()),
        );
        drop(state);
        self.shared.1.notify_all();
    }

    /// Removes all rows of a table.
    pub fn remove(&self, table: &str) {
        let mut state = self.lock();
        let ids: Vec<RowId> = state.rows.keys().filter(|id| id.0 == table).cloned().collect();
        for id in ids {
            state.write(id, None);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Sets how the store handles requests. If it no longer serves, pending `/rows-feed` requests return at once.
    pub fn set_condition(&self, condition: StoreCondition) {
        self.lock().condition = condition;
        self.shared.1.notify_all();
    }

    /// Lets all open connections go silent for good, without a reset. New ones work.
    pub fn mute_open_connections(&self) {
        let mut state = self.lock();
        state.muted = state.connections;
    }

    /// Removes the history of changes; later `/rows-feed` requests from before the current version get status 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_version = state.version;
        state.history.clear();
    }

    /// Replaces the contents by those of a copy, as after a loss of the store. Versions since the copy are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.rows.clone_from(&copy.rows);
        state.history.clone_from(&copy.history);
        state.compacted_version = copy.compacted_version;
        state.version = copy.version;
        state.era += 1;
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: &net::TcpStream) {
        let mut state = self.lock();
        state.connections += 1;
        let connection = state.connections;
        drop(state);
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Ok(Some(request)) = http_exchange::read_request(&mut reader) {
            let Some(mut response) = self.respond(&request) else {
                return;
            };
            if self.loses_responses(connection) {
                // The open connection delivers nothing until the caller closes it.
                while let Ok(Some(_request)) = http_exchange::read_request(&mut reader) {}
                return;
            }
            response.headers.push((STORE_ERA, self.lock().era.to_string()));
            if http_exchange::write_response(&mut writer, &response).is_err() {
                return;
            }
        }
    }

    /// Executes a request; `None` closes the connection without a response.
    fn respond(&self, request: &http_exchange::HttpRequest) -> Option<http_exchange::HttpResponse> {
        let mut state = self.lock();
        state.calls += 1;
        let condition = state.condition;
        drop(state);
        match condition {
            StoreCondition::Serving | StoreCondition::LosingResponses => {}
            // `Self::serve` drops the response under `Silent`.
            StoreCondition::Busy | StoreCondition::Silent => {
                return Some(http_exchange::HttpResponse::json(503, &json!({})));
            }
            StoreCondition::Closing => return None,
            StoreCondition::Slow => thread::sleep(SLOW_DELAY),
        }
        let (path, query) = http_query::split(&request.target);
        Some(match path {
            "/rows-tx" => self.commit(&request.body),
            "/rows-get" => self.get(query),
            "/rows-feed" => self.feed(query),
            _ => http_exchange::HttpResponse::json(404, &json!({})),
        })
    }

    fn loses_responses(&self, connection: u64) -> bool {
        let state = self.lock();
        let loses = [StoreCondition::Silent, StoreCondition::LosingResponses].contains(&state.condition);
        loses || connection <= state.muted
    }

    fn commit(&self, body: &[u8]) -> http_exchange::HttpResponse {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return http_exchange::HttpResponse::json(400, &json!({}));
        };
        let rows_of = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let mut state = self.lock();
        let conflicts: Vec<Value> = rows_of("ExpectedRev")
            .iter()
            .filter(|row| state.rows.get(&row_id(row)).map_or(0, |found| found.1) != row["Ver"].as_u64().unwrap_or(0))
            .cloned()
            .collect();
        if !conflicts.is_empty() {
            return http_exchange::HttpResponse::json(412, &json!({"Rows": conflicts}));
        }
        if rows_of("Writes")
            .iter()
            .any(|row| matches!(row["Table"].as_str(), Some("op" | "servers")))
        {
            return http_exchange::HttpResponse::json(403, &json!({}));
        }
        for row in rows_of("Writes") {
            let value = row["Value"].as_str().unwrap_or("").to_owned();
            state.write(row_id(&row), Some(value));
        }
        for row in rows_of("Remove") {
            state.write(row_id(&row), None);
        }
        let version = state.version;
        drop(state);
        self.shared.1.notify_all();
        http_exchange::HttpResponse::json(200, &json!({"Ver": version, "Now": "0ms"}))
    }

    fn get(&self, query: &str) -> http_exchange::HttpResponse {
        let text = |name: &str| http_query::value(query, name).unwrap_or_default();
        let (table, part, from, to) = (text("Table"), text("part"), text("From"), text("To"));
        let limit = text("Limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.lock();
        let found: Vec<Value> = state
            .rows
            .iter()
            .filter(|(id, _row)| id.0 == table && id.1 == part && id.2 >= from && (to.is_empty() || id.2 < to))
            .map(|(id, (value, version))| row_json(id, Some(value), *version))
            .collect();
        let more = found.len() > limit;
        let rows: Vec<Value> = found.into_iter().take(limit).collect();
        let body = json!({"Rows": rows, "HasMore": more, "Ver": state.version, "Now": "0ms"});
        http_exchange::HttpResponse::json(200, &body)
    }

    /// Returns the changes of a table after a version; waits for `WaitMs` if there are none yet.
    fn feed(&self, query: &str) -> http_exchange::HttpResponse {
        let number = |name: &str| http_query::value(query, name).and_then(|text| text.parse::<u64>().ok());
        let table = http_query::value(query, "Table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let deadline = time::Instant::now() + time::Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.lock();
        loop {
            if after < state.compacted_version || after > state.version {
                return http_exchange::HttpResponse::json(410, &json!({}));
            }
            let rows: Vec<Value> = state
                .history
                .iter()
                .filter(|(id, _value, version)| id.0 == table && *version > after)
                .map(|(id, value, version)| row_json(id, value.as_deref(), *version))
                .collect();
            let left = deadline.saturating_duration_since(time::Instant::now());
            if !rows.is_empty() || left.is_zero() || state.condition != StoreCondition::Serving {
                let body = json!({"Rows": rows, "Ver": state.version, "Now": "0ms"});
                return http_exchange::HttpResponse::json(200, &body);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, StoreState> {
        self.shared.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Queries.
impl PlatformStore {
    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of requests since the start, including those that were not executed.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns a copy of the contents for [`Self::restore`].
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            rows: state.rows.clone(),
            history: state.history.clone(),
            compacted_version: state.compacted_version,
            version: state.version,
        }
    }

    /// Returns the number of rows of a table in all its parts.
    #[must_use]
    pub fn count(&self, table: &str) -> usize {
        self.lock().rows.keys().filter(|id| id.0 == table).count()
    }
}

impl StoreState {
    fn write(&mut self, id: RowId, value: Option<String>) {
        self.version += 1;
        match &value {
            Some(value) => {
                self.rows.insert(id.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&id);
            }
        }
        self.history.push((id, value, self.version));
    }
}

fn row_id(row: &Value) -> RowId {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json(id: &RowId, value: Option<&str>, version: u64) -> Value {
    match value {
        Some(value) => json!({"Table": id.0, "part": id.1, "Key": id.2, "Value": value, "Ver": version}),
        None => json!({"Table": id.0, "part": id.1, "Key": id.2, "Tombstone": true, "Ver": version}),
    }
}
