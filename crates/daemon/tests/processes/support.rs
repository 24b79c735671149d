//! Daemon processes, a scripted backend server and a raw HTTP caller for the tests of this directory.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::Read;
use std::io::Write;
use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Bound on every wait. A test that reaches it fails, so a generous value costs no time in passing runs.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Daemon process; killed when dropped.
pub struct Daemon {
    child: process::Child,
    pub entry: net::SocketAddr,
    pub peer: net::SocketAddr,
    pub api: net::SocketAddr,
}

impl Daemon {
    /// Starts a daemon on free ports. `extra` holds further JSON members of the settings, each with a leading comma.
    pub fn start(id: &str, extra: &str) -> Self {
        Self::start_at(id, "127.0.0.1:0", extra)
    }

    /// As [`Self::start`], with a given address for peers.
    pub fn start_at(id: &str, peer: &str, extra: &str) -> Self {
        static NEXT_FILE: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let number = NEXT_FILE.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("settings-{}-{number}.json", process::id());
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let listen = format!(r#""entry_listen":"127.0.0.1:0","peer_listen":"{peer}","api_listen":"127.0.0.1:0""#);
        let text = format!(r#"{{"daemon_id":"{id}","region":"r","data_centre":"d",{listen}{extra}}}"#);
        fs::write(&file, text).unwrap();
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_damasktrackd"))
            .arg("--settings")
            .arg(&file)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut output = io::BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let mut addresses = line.split_whitespace().map(|pair| {
            let address = pair.split_once('=').unwrap().1;
            address.parse::<net::SocketAddr>().unwrap()
        });
        let mut next = || addresses.next().unwrap();
        Self {
            entry: next(),
            peer: next(),
            api: next(),
            child,
        }
    }

    /// Starts a callee daemon beside a backend server of the service `s`.
    pub fn start_callee(backend: &BackendServer, extra: &str) -> Self {
        static NEXT_CALLEE: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let number = NEXT_CALLEE.fetch_add(1, atomic::Ordering::Relaxed);
        let address = backend.address;
        let backend = format!(r#","service":"s","backend_server":{{"address":"{address}","slots":16}}{extra}"#);
        Self::start(&format!("callee{number}"), &backend)
    }

    /// Starts an entry daemon, without a backend server, that has the callee daemon as its seed, and waits until both are
    /// ready.
    pub fn start_entry(callee: &Self, extra: &str) -> Self {
        callee.wait_ready();
        let daemon = Self::start("entry", &format!(r#","seeds":["{}"]{extra}"#, callee.peer));
        daemon.wait_ready();
        daemon
    }

    /// Waits until the daemon is ready, which implies that it has announced to its peers that it accepts calls.
    pub fn wait_ready(&self) {
        wait_for("the daemon to be ready", || {
            let response = Caller::open(self.api).exchange("GET", "/ready", "", b"").ok();
            response.filter(|response| response.status == 200)
        });
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let sent = process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.unwrap().success());
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = wait_for("the daemon to end", || self.child.try_wait().unwrap());
        status.code()
    }

    /// Returns the peak resident memory of the process so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Request as a backend server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub header: String,
    pub body: Vec<u8>,
}

/// Scripted backend server. A handler writes the response to each request and returns whether the connection stays
/// open. Health checks succeed without the handler.
pub struct BackendServer {
    pub address: net::SocketAddr,
    pub requests: mpsc::Receiver<Request>,
    streams: sync::Arc<sync::Mutex<Vec<net::TcpStream>>>,
}

impl BackendServer {
    pub fn start(handler: impl Fn(&Request, &mut net::TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = mpsc::channel();
        let handler = sync::Arc::new(handler);
        let streams = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let accepted = sync::Arc::clone(&streams);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_nodelay(true).unwrap();
                accepted.lock().unwrap().push(stream.try_clone().unwrap());
                let sender = sender.clone();
                let handler = sync::Arc::clone(&handler);
                thread::spawn(move || serve(stream, &sender, &*handler));
            }
        });
        Self {
            address,
            requests,
            streams,
        }
    }

    /// Closes all connections at once, as if the process ended.
    pub fn close_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(net::Shutdown::Both);
        }
    }

    /// Waits for a request whose path starts with `path`, and discards the requests before it.
    pub fn wait_request(&self, path: &str) -> Request {
        // The bound is on the whole wait: health checks never stop, so a bound on each receive would never expire.
        wait_for(path, || {
            self.requests.try_iter().find(|request| request.path.starts_with(path))
        })
    }
}

fn serve(
    stream: net::TcpStream,
    sender: &mpsc::Sender<Request>,
    handler: &dyn Fn(&Request, &mut net::TcpStream) -> bool,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = io::BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let _receiver_dropped = sender.send(request.clone());
        let open = match request.path.as_str() {
            "/health" => respond(&mut writer, b"ok"),
            _ => handler(&request, &mut writer),
        };
        if !open {
            let _closed = writer.shutdown(net::Shutdown::Both);
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let header = read_header(reader)?;
    let mut words = header.split_whitespace();
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
    let length = header_value(&header, "content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        header,
        body,
    })
}

fn read_header(reader: &mut impl BufRead) -> Option<String> {
    let mut header = String::new();
    while !header.ends_with("\r\n\r\n") {
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
    }
    Some(header)
}

/// Returns the value of a header field; names are compared without case.
pub fn header_value<'a>(header: &'a str, name: &str) -> Option<&'a str> {
    header.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Writes a complete response with status 200 and returns whether the connection can stay open.
pub fn respond(stream: &mut net::TcpStream, body: &[u8]) -> bool {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Response as a caller received it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub header: String,
    pub body: Vec<u8>,
}

/// Raw HTTP connection of a caller.
pub struct Caller {
    pub reader: io::BufReader<net::TcpStream>,
}

impl Caller {
    pub fn open(address: net::SocketAddr) -> Self {
        let stream = net::TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self {
            reader: io::BufReader::new(stream),
        }
    }

    pub fn send(&mut self, method: &str, path: &str, header: &str, body: &[u8]) {
        let length = body.len();
        let mut bytes =
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{header}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.send_raw(&bytes);
    }

    pub fn send_raw(&mut self, bytes: &[u8]) {
        // The daemon closes the connection after some error responses, even if the request is not fully sent.
        let _closed = self.reader.get_mut().write_all(bytes);
    }

    /// Reads a response. Fails if no response arrives or if the body is truncated.
    pub fn receive(&mut self) -> io::Result<Response> {
        let header = read_header(&mut self.reader).ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = header.split_whitespace().nth(1).unwrap().parse().unwrap();
        let mut body = Vec::new();
        if let Some(length) = header_value(&header, "content-length") {
            body.resize(length.parse().unwrap(), 0);
            self.reader.read_exact(&mut body)?;
        } else {
            chunked_transfer::Decoder::new(&mut self.reader).read_to_end(&mut body)?;
        }
        Ok(Response { status, header, body })
    }

    pub fn exchange(&mut self, method: &str, path: &str, header: &str, body: &[u8]) -> io::Result<Response> {
        self.send(method, path, header, body);
        self.receive()
    }
}

/// Polls until there is a value, for at most [`WAIT_TIMEOUT`]. `what` completes the message "timed out waiting for".
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(time::Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(time::Duration::from_millis(10));
    }
}
