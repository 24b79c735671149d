//! Stand-in for an application server.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, Wire};
use crate::record::Record;

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
}

pub struct Server {
    pub service: String,
    pub instance: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    pub slots: u32,
    sequence: AtomicU64,
    busy: AtomicU32,
    /// Bytes of a request body that are read in a second; 0 for as fast as they come.
    pub read_rate: AtomicU64,
    /// Whether the server leaves: its answers close their connections, and it is not healthy.
    pub leaving: AtomicBool,
    /// Whether requests to `/flood/` paths are answered with bytes that are no answer.
    pub faulty: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Server {
    pub fn start(service: &str, instance: &str, address: SocketAddr, record: &Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let server = Arc::new(Self {
            service: service.to_owned(),
            instance: instance.to_owned(),
            address,
            born_ms: born,
            slots: 72,
            sequence: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            read_rate: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            faulty: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ended = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// Returns the request of the next heartbeat.
    pub fn next_heartbeat(&self, control: SocketAddr, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"east-a\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"{state}\",\"ColdLeft\":\"0ms\",\"Seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born_ms
        );
        post(
            control,
            &format!("/rpc?call=instances.heartbeat&of={}", self.instance),
            &body,
        )
    }

    /// Returns a heartbeat of another writer for an instance of this service. It lacks the address.
    pub fn foreign_heartbeat(&self, control: SocketAddr, instance: &str, born_ms: u64) -> String {
        let body = format!(
            "{{\"Service\":\"{}\",\"Zone\":\"east-a\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"ready\",\
             \"ColdLeft\":\"0ms\",\"Seq\":1000000,\"born\":{born_ms}}}",
            self.service, self.slots
        );
        post(control, &format!("/rpc?call=instances.heartbeat&of={instance}"), &body)
    }

    pub fn deregistration(&self, control: SocketAddr) -> String {
        let body = format!("{{\"born\":{}}}", self.born_ms);
        post(
            control,
            &format!("/rpc?call=instances.deregister&of={}", self.instance),
            &body,
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        // Idle connections are closed after a timeout, which the `Keep-Alive` header states.
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut wire = Wire::new(stream);
        while let Some(head) = wire.read_head()? {
            let id = head.get("damasktrack-attempt-id").unwrap_or("").to_owned();
            let path = head.first.split(' ').nth(1).unwrap_or("").to_owned();
            if path == "/health" {
                let answer = format!(
                    "HTTP/1.1 {}\r\nDamasktrack-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    if self.is_leaving() {
                        "503 Service Unavailable"
                    } else {
                        "200 OK"
                    },
                    self.instance
                );
                wire.write(answer.as_bytes())?;
                continue;
            }
            let rate = self.read_rate.load(Ordering::SeqCst);
            wire.read_body(&head, (rate > 0).then_some(rate))?;
            let target = head.get("damasktrack-target-instance");
            if target.is_some_and(|target| target != self.instance) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nDamasktrack-Instance-Id: {}\r\n\
                     Damasktrack-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                    self.instance
                );
                wire.write(answer.as_bytes())?;
                continue;
            }
            let busy = self.busy.fetch_add(1, Ordering::SeqCst);
            let result = if busy >= self.slots {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nDamasktrack-Not-Executed: 1\r\n\
                     Damasktrack-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                wire.write(answer.as_bytes())
            } else {
                self.run(&mut wire, &head, &id, &path)
            };
            self.busy.fetch_sub(1, Ordering::SeqCst);
            result?;
        }
        Ok(())
    }

    fn run(&self, wire: &mut Wire, head: &Head, id: &str, path: &str) -> io::Result<()> {
        self.record
            .line(&format!("run {id} {path} at {} ({})", self.instance, self.service));
        self.runs.lock().unwrap().push(Run {
            at: self.record.now(),
            id: id.to_owned(),
        });
        if path.contains("/flood/") && self.faulty.load(Ordering::SeqCst) {
            return self.flood(wire, id, path);
        }
        let work: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = head
            .get("damasktrack-deadline-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(10_000);
        thread::sleep(Duration::from_millis(work.min(deadline)));
        let status = if work < deadline {
            "200 OK"
        } else {
            "504 Gateway Timeout"
        };
        let body = format!("answer to {id}");
        let answer = format!(
            "HTTP/1.1 {status}\r\nDamasktrack-Attempt-Id: {id}\r\nDamasktrack-Response-Seal: seal-{id}\r\n\
             {}\r\nContent-Length: {}\r\n\r\n{body}",
            if self.is_leaving() {
                "Connection: close"
            } else {
                "Keep-Alive: timeout=10"
            },
            body.len()
        );
        wire.write(answer.as_bytes())?;
        if self.is_leaving() {
            return Err(io::Error::other("connection closed by a leaving server"));
        }
        Ok(())
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Sends bytes that are no answer until the caller closes the connection.
    fn flood(&self, wire: &mut Wire, id: &str, path: &str) -> io::Result<()> {
        let began = Instant::now();
        let sealed =
            format!("HTTP/1.1 200 OK\r\nDamasktrack-Attempt-Id: {id}\r\nDamasktrack-Response-Seal: seal-{id}\r\n");
        let (start, piece) = if path.contains("/heads/") {
            (String::new(), b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000))
        } else if path.contains("/chunks/") {
            (
                format!("{sealed}Transfer-Encoding: chunked\r\n\r\n"),
                b"1\r\nx\r\n".repeat(1_000),
            )
        } else {
            (format!("{sealed}\r\n"), vec![b'x'; 64 * 1024])
        };
        let pause: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        wire.write(start.as_bytes())?;
        // The bound only ends a stand-in whose caller never closes.
        while began.elapsed() < Duration::from_secs(60) {
            wire.write(&piece)?;
            if pause > 0 {
                thread::sleep(Duration::from_millis(pause));
            }
        }
        Ok(())
    }
}

fn post(address: SocketAddr, path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
