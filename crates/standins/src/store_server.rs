//! HTTP server of the store stand-in: `/table`, `/object` and `/control`.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use bytes::Bytes;
use serde_json::json;

use crate::http_query;
use crate::store_faults;
use crate::table_store;
use crate::token_bucket;

/// Number of bytes after which a request body is truncated.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Threads that serve requests.
const WORKER_THREADS: usize = 4;
/// Most requests without a response that are held; beyond that the oldest gets an empty 500.
const MAX_HELD_REQUESTS: usize = 4_096;

/// Rates of the store; 0 means no limit.
#[derive(Clone, Copy, Debug)]
pub struct StoreRates {
    /// Rows and objects written per second.
    pub writes: f64,
    /// Rows read, listings and objects read per second.
    pub reads: f64,
}

impl Default for StoreRates {
    fn default() -> Self {
        Self {
            writes: 500.0,
            reads: 2_000.0,
        }
    }
}

/// Counts of requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoreStats {
    /// Reads that were executed, whatever their status; not those refused by the rate limit or stopped by a fault.
    pub reads: u64,
    /// Rows and objects written; a commit without writes counts as one.
    pub writes: u64,
    /// Commits that took effect.
    pub commits: u64,
    /// Commits refused because of a condition.
    pub conflicts: u64,
    /// Requests that got status 429.
    pub refusals: u64,
    /// Requests that got status 503 because of a fault.
    pub outages: u64,
    /// Requests that got no response because of a fault.
    pub unanswered: u64,
}

#[derive(Debug)]
struct StoreState {
    store: table_store::TableStore,
    faults: store_faults::FaultTable,
    stats: StoreStats,
    reads: token_bucket::TokenBucket,
    writes: token_bucket::TokenBucket,
}

/// A running server. Its threads end with [`StoreServer::stop`].
#[derive(Debug)]
pub struct StoreServer {
    address: net::SocketAddr,
    server: sync::Arc<ServerHandle>,
    workers: Vec<thread::JoinHandle<()>>,
}

struct ServerHandle {
    http: tiny_http::Server,
    state: sync::Mutex<StoreState>,
    held: sync::Mutex<collections::VecDeque<tiny_http::Request>>,
    stopping: sync::atomic::AtomicBool,
}

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServerHandle").finish_non_exhaustive()
    }
}

/// Status and body of a response.
#[derive(Debug)]
struct StoreResponse {
    status: u16,
    body: Vec<u8>,
}

impl StoreResponse {
    fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            body: value.to_string().into_bytes(),
        }
    }

    fn error(status: u16, text: &str) -> Self {
        Self::json(status, &json!({ "error": text }))
    }
}

/// What a worker thread does with a request.
#[derive(Debug)]
enum ResponseStep {
    /// Send the response after a delay.
    Send(StoreResponse, time::Duration),
    /// Send no response.
    Hold,
}

/// Returns a listener whose connections have Nagle's algorithm disabled.
///
/// # Errors
/// Returns the error of the socket.
pub fn listener(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted sockets inherit the option; without it tiny_http stalls for 44 ms on responses over 1 KB.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(1_024)?;
    Ok(socket.into())
}

impl StoreServer {
    /// Starts the server; port 0 picks a free port.
    ///
    /// # Errors
    /// Returns the error of the listening socket.
    pub fn start(address: net::SocketAddr, rates: StoreRates) -> io::Result<Self> {
        let listener = listener(address)?;
        let address = listener.local_addr()?;
        let http = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let now = time::Instant::now();
        let server = sync::Arc::new(ServerHandle {
            http,
            state: sync::Mutex::new(StoreState {
                store: table_store::TableStore::default(),
                faults: store_faults::FaultTable::default(),
                stats: StoreStats::default(),
                reads: token_bucket::TokenBucket::new(rates.reads, now),
                writes: token_bucket::TokenBucket::new(rates.writes, now),
            }),
            held: sync::Mutex::new(collections::VecDeque::new()),
            stopping: sync::atomic::AtomicBool::new(false),
        });
        let workers = (0..WORKER_THREADS)
            .map(|_| {
                let server = sync::Arc::clone(&server);
                thread::spawn(move || server.serve_requests())
            })
            .collect();
        Ok(Self {
            address,
            server,
            workers,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops the worker threads and waits until they end.
    pub fn stop(self) {
        self.server.stopping.store(true, sync::atomic::Ordering::SeqCst);
        for _ in &self.workers {
            self.server.http.unblock();
        }
        for worker in self.workers {
            if worker.join().is_err() {
                eprintln!("standin-store: a worker thread panicked");
            }
        }
    }
}

impl ServerHandle {
    fn serve_requests(&self) {
        while !self.stopping.load(sync::atomic::Ordering::SeqCst) {
            let Ok(mut request) = self.http.recv() else {
                continue;
            };
            match self.handle(&mut request) {
                ResponseStep::Hold => self.hold(request),
                ResponseStep::Send(response, delay) if delay.is_zero() => send(request, response),
                ResponseStep::Send(response, delay) => {
                    thread::spawn(move || {
                        thread::sleep(delay);
                        send(request, response);
                    });
                }
            }
        }
    }

    /// Retains the request without a response, because `tiny_http` responds 500 to a request that is dropped.
    fn hold(&self, request: tiny_http::Request) {
        let mut held = lock(&self.held);
        held.push_back(request);
        if held.len() > MAX_HELD_REQUESTS {
            held.pop_front();
        }
    }

    fn handle(&self, request: &mut tiny_http::Request) -> ResponseStep {
        let mut body = Vec::new();
        let reader = request.as_reader();
        let read = io::Read::read_to_end(&mut io::Read::take(reader, MAX_BODY_BYTES + 1), &mut body);
        if read.is_err() {
            return ResponseStep::Send(
                StoreResponse::error(400, "request body can't be read"),
                time::Duration::ZERO,
            );
        }
        if body.len() as u64 > MAX_BODY_BYTES {
            return ResponseStep::Send(
                StoreResponse::error(413, "request body is too large"),
                time::Duration::ZERO,
            );
        }
        let method = request.method().to_string();
        let (path, query) = http_query::split(request.url());
        let mut state = lock(&self.state);
        if path.starts_with("/control/") {
            return ResponseStep::Send(state.control(&method, path, &body), time::Duration::ZERO);
        }
        state.serve(&method, path, query, body, time::Instant::now())
    }
}

impl StoreState {
    fn control(&mut self, method: &str, path: &str, body: &[u8]) -> StoreResponse {
        match (method, path) {
            ("POST", "/control/fault") => match serde_json::from_slice(body) {
                Ok(rule) => {
                    self.faults.add(rule);
                    StoreResponse::json(200, &json!({ "rules": self.faults.rules() }))
                }
                Err(error) => StoreResponse::error(400, &error.to_string()),
            },
            ("GET", "/control/fault") => StoreResponse::json(200, &json!({ "rules": self.faults.rules() })),
            ("GET", "/control/stats") => {
                let mut stats = json!(self.stats);
                stats["head"] = json!(self.store.head());
                stats["faults"] = json!(self.faults.hits());
                StoreResponse::json(200, &stats)
            }
            _ => StoreResponse::error(404, "no such path"),
        }
    }

    fn serve(&mut self, method: &str, path: &str, query: &str, body: Vec<u8>, now: time::Instant) -> ResponseStep {
        let write = method != "GET";
        let plan = self.faults.draw(write);
        if plan.lose_request {
            self.stats.unanswered += 1;
            return ResponseStep::Hold;
        }
        if plan.down {
            self.stats.outages += 1;
            return ResponseStep::Send(StoreResponse::error(503, "the store is down"), plan.delay);
        }
        let head = self.store.head().saturating_sub(plan.stale_commits);
        let response = match (method, path) {
            ("POST", "/table/commit") => self.commit(&body, now),
            ("GET", "/table/get") => self.read(now, |store| get(store, query, head)),
            ("GET", "/table/list") => self.read(now, |store| list(store, query, head)),
            (_, path) => match (method, path.strip_prefix("/object/")) {
                ("PUT", Some(key)) => self.put_object(key, body, now),
                ("GET", Some(key)) => self.read(now, |store| get_object(store, key)),
                _ => StoreResponse::error(404, "no such path"),
            },
        };
        if plan.lose_answer {
            self.stats.unanswered += 1;
            return ResponseStep::Hold;
        }
        ResponseStep::Send(response, plan.delay)
    }

    fn read(
        &mut self,
        now: time::Instant,
        query: impl FnOnce(&table_store::TableStore) -> StoreResponse,
    ) -> StoreResponse {
        if !self.reads.take(1.0, now) {
            return self.over_rate();
        }
        self.stats.reads += 1;
        query(&self.store)
    }

    fn commit(&mut self, body: &[u8], now: time::Instant) -> StoreResponse {
        let request: table_store::CommitRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return StoreResponse::error(400, &error.to_string()),
        };
        let count = u32::try_from(request.writes.len()).unwrap_or(u32::MAX).max(1);
        if !self.writes.take(f64::from(count), now) {
            return self.over_rate();
        }
        match self.store.commit(request) {
            table_store::CommitResult::Committed(version) => {
                self.stats.commits += 1;
                self.stats.writes += u64::from(count);
                StoreResponse::json(200, &json!({ "version": version }))
            }
            table_store::CommitResult::Conflict(conflicts) => {
                self.stats.conflicts += 1;
                StoreResponse::json(409, &json!({ "conflicts": conflicts }))
            }
            table_store::CommitResult::DuplicateWrite(write) => StoreResponse::error(
                400,
                &format!("row '{}' of table '{}' is written twice", write.key, write.table),
            ),
        }
    }

    fn put_object(&mut self, key: &str, body: Vec<u8>, now: time::Instant) -> StoreResponse {
        if !self.writes.take(1.0, now) {
            return self.over_rate();
        }
        self.stats.writes += 1;
        self.store.put_object(key.to_owned(), Bytes::from(body));
        StoreResponse::json(200, &json!({}))
    }

    fn over_rate(&mut self) -> StoreResponse {
        self.stats.refusals += 1;
        StoreResponse::error(429, "rate limit of the store exceeded")
    }
}

fn get(store: &table_store::TableStore, query: &str, head: u64) -> StoreResponse {
    let (Some(table), Some(key)) = (http_query::value(query, "table"), http_query::value(query, "key")) else {
        return StoreResponse::error(400, "'table' or 'key' is missing");
    };
    match store.get_at(&table, &key, head) {
        Some(row) => StoreResponse::json(200, &json!({ "value": row.value, "version": row.version })),
        None => StoreResponse::error(404, "no such row"),
    }
}

fn list(store: &table_store::TableStore, query: &str, head: u64) -> StoreResponse {
    let Some(table) = http_query::value(query, "table") else {
        return StoreResponse::error(400, "'table' is missing");
    };
    let limit = http_query::value(query, "limit");
    let limit = limit.map_or(Ok(table_store::MAX_PAGE_ROWS), |limit| limit.parse());
    let Ok(limit) = limit else {
        return StoreResponse::error(400, "'limit' is not a number");
    };
    let query = table_store::ListQuery {
        table,
        prefix: http_query::value(query, "prefix").unwrap_or_default(),
        after: http_query::value(query, "after").unwrap_or_default(),
        limit,
    };
    StoreResponse::json(200, &json!(store.list_at(&query, head)))
}

fn get_object(store: &table_store::TableStore, key: &str) -> StoreResponse {
    match store.object(key) {
        Some(content) => StoreResponse {
            status: 200,
            body: content.to_vec(),
        },
        None => StoreResponse::error(404, "no such object"),
    }
}

/// Sends a response. A failure is only logged, because the client may have closed the connection.
fn send(request: tiny_http::Request, response: StoreResponse) {
    let response = tiny_http::Response::from_data(response.body).with_status_code(response.status);
    if let Err(error) = request.respond(response) {
        eprintln!("standin-store: response not sent: {error}");
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
