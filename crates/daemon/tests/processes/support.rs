//! Processes, a scripted backend server and a raw HTTP caller for the tests of this directory.

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

/// Bound on waits that only end early; a test that reaches it fails.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Daemon process; killed when dropped.
pub struct Daemon {
    child: process::Child,
    pub entry: net::SocketAddr,
    pub peer: net::SocketAddr,
    pub api: net::SocketAddr,
}

impl Daemon {
    /// Starts a daemon on free ports; `extra` is further JSON members, each with a leading comma.
    pub fn start(id: &str, extra: &str) -> Self {
        Self::start_at(id, "127.0.0.1:0", extra)
    }

    /// As [`Self::start`], with the address for peers.
    pub fn start_at(id: &str, peer: &str, extra: &str) -> Self {
        static FILES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let number = FILES.fetch_add(1, atomic::Ordering::Relaxed);
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

    /// Starts the daemon beside a backend server of the service `s`.
    pub fn beside(backend: &BackendServer, extra: &str) -> Self {
        static DAEMONS: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let number = DAEMONS.fetch_add(1, atomic::Ordering::Relaxed);
        let address = backend.address;
        let backend = format!(r#","service":"s","backend_server":{{"address":"{address}","slots":16}}{extra}"#);
        Self::start(&format!("callee{number}"), &backend)
    }

    /// Starts a daemon without a backend server that knows another daemon, and waits until it is ready.
    pub fn in_front_of(callee: &Self, extra: &str) -> Self {
        callee.wait_ready();
        let daemon = Self::start("entry", &format!(r#","seeds":["{}"]{extra}"#, callee.peer));
        daemon.wait_ready();
        daemon
    }

    /// Waits until the daemon is ready; then it has announced that it takes calls.
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

    /// Returns the greatest resident memory of the process so far, in KiB.
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

/// Request as the backend server reads it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub header: String,
    pub body: Vec<u8>,
}

/// Backend server that hands each request to a function; the function writes the response and returns whether the
/// connection stays open.
pub struct BackendServer {
    pub address: net::SocketAddr,
    pub requests: mpsc::Receiver<Request>,
    streams: sync::Arc<sync::Mutex<Vec<net::TcpStream>>>,
}

impl BackendServer {
    pub fn start(answer: impl Fn(&Request, &mut net::TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = mpsc::channel();
        let answer = sync::Arc::new(answer);
        let streams = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let opened = sync::Arc::clone(&streams);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_nodelay(true).unwrap();
                opened.lock().unwrap().push(stream.try_clone().unwrap());
                let sender = sender.clone();
                let answer = sync::Arc::clone(&answer);
                thread::spawn(move || serve(stream, &sender, &*answer));
            }
        });
        Self {
            address,
            requests,
            streams,
        }
    }

    /// Closes all connections at once, as the end of the process would.
    pub fn break_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(net::Shutdown::Both);
        }
    }

    /// Waits for a request whose path starts so.
    pub fn wait_request(&self, path: &str) -> Request {
        // Health checks arrive all the time, so the bound is on the whole wait.
        wait_for(path, || {
            self.requests.try_iter().find(|request| request.path.starts_with(path))
        })
    }
}

fn serve(
    stream: net::TcpStream,
    sender: &mpsc::Sender<Request>,
    answer: &dyn Fn(&Request, &mut net::TcpStream) -> bool,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = io::BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let _test_over = sender.send(request.clone());
        let open = match request.path.as_str() {
            "/health" => respond(&mut writer, b"ok"),
            _ => answer(&request, &mut writer),
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

/// Returns the value of a header.
pub fn header_value<'a>(header: &'a str, name: &str) -> Option<&'a str> {
    header.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Writes a whole response; returns that the connection stays open.
pub fn respond(stream: &mut net::TcpStream, body: &[u8]) -> bool {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Response as a caller reads it.
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
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
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
        // A daemon that has already answered may have closed its side.
        let _closed = self.reader.get_mut().write_all(bytes);
    }

    /// Reads a response. An error means that the body broke off or that no response came.
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

/// Polls until there is a value.
pub fn wait_for<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + PATIENCE;
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(time::Instant::now() < end, "waited in vain for {what}");
        thread::sleep(time::Duration::from_millis(10));
    }
}
