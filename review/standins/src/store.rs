//! Stand-in for the platform's metadata store: rows, transactions and the feed of a table.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::json::{self, Json};

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changes in order: version, key, and the value unless the row was removed.
    history: Vec<(u64, RowKey, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        write_row(&mut rows, key, Some(json::base64(text.as_bytes())));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.read_head() {
            let Ok(body) = wire.read_body(&head, None) else { return };
            let target = head.first.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, text) = match path {
                "/rows-get" => (200, self.get(query)),
                "/rows-feed" => (200, self.feed(query)),
                "/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => (404, "{}".to_owned()),
            };
            thread::sleep(Duration::from_millis(4));
            let reason = if status == 200 { "OK" } else { "Refused" };
            let answer = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if wire.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn tail(&self, version: u64) -> String {
        format!("\"Ver\":{version},\"Now\":\"{}ms\"", self.began.elapsed().as_millis())
    }

    fn get(&self, query: &str) -> String {
        let rows = self.rows.lock().unwrap();
        let (table, part) = (argument(query, "Table"), argument(query, "part"));
        let (from, to) = (argument(query, "From"), argument(query, "To"));
        let limit: usize = argument(query, "Limit").parse().unwrap_or(500);
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((t, p, key), _)| *t == table && *p == part && *key >= from && (to.is_empty() || *key < to))
            .collect();
        let listed: Vec<String> = found
            .iter()
            .take(limit)
            .map(|(key, (value, version))| row_text(key, Some(value), *version))
            .collect();
        let more = found.len() > limit;
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{more},{}}}",
            listed.join(","),
            self.tail(rows.version)
        )
    }

    fn feed(&self, query: &str) -> String {
        let table = argument(query, "Table");
        let after: u64 = argument(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(argument(query, "WaitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let news: Vec<String> = rows
                .history
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| row_text(key, value.as_ref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return format!("{{\"Rows\":[{}],{}}}", news.join(","), self.tail(rows.version));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.rows.lock().unwrap();
        for expected in call.get("ExpectedRev").list() {
            let version = rows.rows.get(&row_key(expected)).map_or(0, |(_, version)| *version);
            if version != expected.get("Ver").number() {
                return (412, format!("{{\"Rows\":[],{}}}", self.tail(rows.version)));
            }
        }
        rows.version += 1;
        for written in call.get("Writes").list() {
            write_row(
                &mut rows,
                row_key(written),
                Some(written.get("Value").text().to_owned()),
            );
        }
        for removed in call.get("Remove").list() {
            write_row(&mut rows, row_key(removed), None);
        }
        self.changed.notify_all();
        (200, format!("{{{}}}", self.tail(rows.version)))
    }
}

fn write_row(rows: &mut Rows, key: RowKey, value: Option<String>) {
    let version = rows.version;
    match &value {
        Some(value) => rows.rows.insert(key.clone(), (value.clone(), version)),
        None => rows.rows.remove(&key),
    };
    rows.history.push((version, key, value));
}

fn row_key(row: &Json) -> RowKey {
    (
        row.get("Table").text().to_owned(),
        row.get("part").text().to_owned(),
        row.get("Key").text().to_owned(),
    )
}

fn row_text(key: &RowKey, value: Option<&String>, version: u64) -> String {
    let names = format!(
        "\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{version}",
        json::quote(&key.0),
        json::quote(&key.1),
        json::quote(&key.2)
    );
    match value {
        Some(value) => format!("{{{names},\"Value\":{}}}", json::quote(value)),
        None => format!("{{{names},\"Tombstone\":true}}"),
    }
}

fn argument(query: &str, name: &str) -> String {
    let found = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(known, _)| *known == name);
    let text = found.map_or("", |(_, value)| value).as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < text.len() {
        let code = (text[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        let code = code.and_then(|code| u8::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok());
        decoded.push(code.unwrap_or(text[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
