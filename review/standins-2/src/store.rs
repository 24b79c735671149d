//! Stand-in for the platform's store: rows, conditional transactions and a feed of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::base64;
use crate::record::Record;

/// Time that the store takes for a call, as the sheets of the small deployments state it.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Table, part and key.
type RowId = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<RowId, (String, u64)>,
    history: Vec<(RowId, Option<String>, u64)>,
    version: u64,
    /// Calls that arrive are not executed, and no answer is sent.
    silent: bool,
    /// Feeds that were answered with a change since the last write of the operator.
    notified: usize,
    /// Feeds that wait.
    waiting: usize,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address,
            shared: Arc::default(),
            record: record.clone(),
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes the configuration as the operator does; the return is the acknowledgement.
    pub fn configure(&self, text: &str) {
        let mut state = self.lock();
        state.notified = 0;
        write(
            &mut state,
            ("op".into(), String::new(), "config".into()),
            Some(base64(text.as_bytes())),
        );
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    pub fn notified(&self) -> usize {
        self.lock().notified
    }

    pub fn waiting(&self) -> usize {
        self.lock().waiting
    }

    /// Falls silent as soon as this many feeds have been answered with the last change, or after a second.
    pub fn silence_after(&self, feeds: usize) {
        let end = Instant::now() + Duration::from_secs(1);
        let mut state = self.lock();
        while state.notified < feeds && Instant::now() < end {
            let woken = self.shared.1.wait_timeout(state, Duration::from_millis(100));
            state = woken.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        state.silent = true;
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = self.respond(&request);
            // A connection on which a response is lost delivers nothing further.
            let Some((status, body)) = answer else {
                self.record.line(&format!("store: answer lost: {}", request.first));
                thread::sleep(Duration::from_secs(300));
                return;
            };
            let headers = [("Content-Type", "application/json")];
            let first = format!("HTTP/1.1 {status} Status");
            if http::write(&mut writer, &first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Executes a request; `None` if its answer is lost.
    fn respond(&self, request: &http::Message) -> Option<(u16, String)> {
        // An answer takes 4 ms, and a call that is on its way when the silence begins gets none.
        thread::sleep(CALL_TIME);
        if self.lock().silent {
            return None;
        }
        let path = request.target().split('?').next().unwrap_or("");
        match path {
            "/rows-tx" => Some(self.commit(&request.body)),
            "/rows-get" => Some(self.get(request)),
            "/rows-feed" => self.feed(request),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return (400, "{}".to_owned());
        };
        let id = |row: &Json| -> RowId {
            (
                row.get("Table").text().into(),
                row.get("part").text().into(),
                row.get("Key").text().into(),
            )
        };
        let mut state = self.lock();
        let version = |state: &State, row: &Json| state.rows.get(&id(row)).map_or(0, |found| found.1);
        if call
            .get("ExpectedRev")
            .list()
            .iter()
            .any(|row| version(&state, row) != row.get("Ver").number())
        {
            return (412, "{\"Rows\":[]}".to_owned());
        }
        for row in call.get("Writes").list() {
            write(&mut state, id(row), Some(row.get("Value").text().to_owned()));
        }
        for row in call.get("Remove").list() {
            write(&mut state, id(row), None);
        }
        let version = state.version;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"Ver\":{version},\"Now\":\"0ms\"}}"))
    }

    fn get(&self, request: &http::Message) -> (u16, String) {
        let (table, part, from) = (request.query("Table"), request.query("part"), request.query("From"));
        let limit: usize = request.query("Limit").parse().unwrap_or(500);
        let state = self.lock();
        let rows = state
            .rows
            .iter()
            .filter(|(id, _)| id.0 == table && id.1 == part && *id.2 >= *from);
        let rows: Vec<String> = rows.map(|(id, row)| row_text(id, Some(&row.0), row.1)).collect();
        let more = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        (
            200,
            format!(
                "{{\"Rows\":[{rows}],\"HasMore\":{more},\"Ver\":{},\"Now\":\"0ms\"}}",
                state.version
            ),
        )
    }

    fn feed(&self, request: &http::Message) -> Option<(u16, String)> {
        let table = request.query("Table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        state.waiting += 1;
        loop {
            let rows = state
                .history
                .iter()
                .filter(|(id, _, version)| id.0 == table && *version > after);
            let rows: Vec<String> = rows
                .map(|(id, value, version)| row_text(id, value.as_deref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                state.waiting -= 1;
                if state.silent {
                    return None;
                }
                state.notified += usize::from(!rows.is_empty());
                let body = format!(
                    "{{\"Rows\":[{}],\"Ver\":{},\"Now\":\"0ms\"}}",
                    rows.join(","),
                    state.version
                );
                drop(state);
                self.shared.1.notify_all();
                return Some((200, body));
            }
            let woken = self.shared.1.wait_timeout(state, left);
            state = woken.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

fn write(state: &mut State, id: RowId, value: Option<String>) {
    state.version += 1;
    match &value {
        Some(value) => {
            state.rows.insert(id.clone(), (value.clone(), state.version));
        }
        None => {
            state.rows.remove(&id);
        }
    }
    let version = state.version;
    state.history.push((id, value, version));
}

fn row_text(id: &RowId, value: Option<&str>, version: u64) -> String {
    let value = value.map_or("\"Tombstone\":true".to_owned(), |value| {
        format!("\"Value\":\"{value}\"")
    });
    format!(
        "{{\"Table\":\"{}\",\"part\":\"{}\",\"Key\":\"{}\",{value},\"Ver\":{version}}}",
        id.0, id.1, id.2
    )
}
