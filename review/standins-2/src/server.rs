//! Stand-in for a backend server, with its heartbeats.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use crate::clock;
use crate::http;
use crate::record::Record;

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub at_ms: u128,
}

pub struct Server {
    pub service: String,
    pub instance: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u128,
    /// Time that a request takes.
    pub work_ms: AtomicU64,
    /// Time from the head of a request with a body to the first read of the body.
    pub body_pause_ms: AtomicU64,
    pub heartbeats: AtomicBool,
    pub state: Mutex<&'static str>,
    pub sequence: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    /// Ids of the requests with a body whose head was read.
    pub heads: Mutex<Vec<String>>,
    pub record: Record,
}

/// Time between two heartbeats.
const HEARTBEAT_MS: u64 = 1_500;

impl Server {
    pub fn start(self) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(self.address)?;
        let server = Arc::new(self);
        let acceptor = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&acceptor);
                thread::spawn(move || server.serve(&stream));
            }
        });
        let sender = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                if sender.heartbeats.load(Ordering::SeqCst) {
                    let acknowledged = sender.heartbeat();
                    // A server that has no acknowledgement yet tries again sooner.
                    clock::sleep_ms(if acknowledged { HEARTBEAT_MS } else { 300 });
                } else {
                    clock::sleep_ms(50);
                }
            }
        });
        Ok(server)
    }

    /// Sends a heartbeat; returns whether it was acknowledged within a second.
    pub fn heartbeat(&self) -> bool {
        let state = *self.state.lock().unwrap();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.send_heartbeat(state, sequence)
    }

    pub fn send_heartbeat(&self, state: &str, sequence: u64) -> bool {
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"{state}\",\
             \"ColdLeft\":\"0ms\",\"Seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        self.tell("instances.heartbeat", &body)
    }

    pub fn deregister(&self) -> bool {
        self.tell("instances.deregister", &format!("{{\"born\":{}}}", self.born))
    }

    fn tell(&self, call: &str, body: &str) -> bool {
        let first = format!("POST /rpc?call={call}&of={} HTTP/1.1", self.instance);
        let host = self.control.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let answer = http::call(self.control, &first, &headers, body.as_bytes(), 1_000);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if request.header("content-length").is_some_and(|length| length != "0") {
                let id = request.header("damasktrack-attempt-id").unwrap_or("").to_owned();
                self.record
                    .line(&format!("server {} has the head of {id}", self.instance));
                self.heads.lock().unwrap().push(id);
                clock::sleep_ms(self.body_pause_ms.load(Ordering::SeqCst));
            }
            let read = http::read_body(&mut reader, &mut request);
            let id = request.header("damasktrack-attempt-id").unwrap_or("").to_owned();
            if let Err(error) = read {
                self.record
                    .line(&format!("server {} lost the body of {id}: {error}", self.instance));
                return;
            }
            let target = request.header("damasktrack-target-instance").unwrap_or("");
            if target != self.instance {
                let headers = [("Damasktrack-Instance-Id", self.instance.as_str())];
                if http::write(&mut writer, "HTTP/1.1 421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let run = Run {
                id: id.clone(),
                target: request.target().to_owned(),
                at_ms: clock::run_ms(),
            };
            self.record.line(&format!(
                "server {} ({}) runs {id} {}",
                self.instance, self.service, run.target
            ));
            self.runs.lock().unwrap().push(run);
            clock::sleep_ms(self.work_ms.load(Ordering::SeqCst));
            let headers = [
                ("Damasktrack-Attempt-Id", id.as_str()),
                ("Damasktrack-Response-Seal", "seal"),
                ("Damasktrack-Instance-Id", self.instance.as_str()),
            ];
            let body = format!("{}:{id}", self.service);
            if http::write(&mut writer, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}
