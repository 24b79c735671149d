//! Daemons that find and lose each other, with the store stand-in as a process.

use std::io;
use std::io::BufRead;
use std::net;
use std::path;
use std::process;
use std::sync;

use crate::support;

/// Key `operator-key` as the settings hold it.
const OPERATORS: &str = r#","operators":[{"name":"maja","role":"admin","key_sha256":"c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818"}]"#;

struct Store {
    child: process::Child,
    address: net::SocketAddr,
}

impl Store {
    fn start() -> Self {
        let mut child = process::Command::new(store_path())
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        io::BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        Self { child, address }
    }

    fn settings(&self) -> String {
        format!(r#","store_address":"{}"{OPERATORS}"#, self.address)
    }

    fn stop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Returns how many rows of members the store holds.
    fn rows(&self) -> usize {
        let path = "/table/list?table=members&prefix=&after=&limit=100";
        let response = support::Caller::open(self.address)
            .exchange("GET", path, "", b"")
            .unwrap();
        String::from_utf8(response.body)
            .unwrap()
            .matches("\"daemon_id\"")
            .count()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Returns the path of the store and builds it first, since cargo builds only the own programs of a package for its
/// tests.
fn store_path() -> path::PathBuf {
    static BUILT: sync::Once = sync::Once::new();
    let daemon = path::Path::new(env!("CARGO_BIN_EXE_damasktrackd"));
    BUILT.call_once(|| {
        let mut build = process::Command::new(env!("CARGO"));
        build.args([
            "build",
            "--locked",
            "--quiet",
            "--bins",
            "--package",
            "damasktrack-standins",
        ]);
        if daemon.parent().is_some_and(|parent| parent.ends_with("release")) {
            build.arg("--release");
        }
        build.current_dir(env!("CARGO_MANIFEST_DIR"));
        assert!(build.status().unwrap().success());
    });
    daemon.with_file_name("standin-store")
}

fn echo() -> support::BackendServer {
    support::BackendServer::start(|request, stream| support::respond(stream, &request.body))
}

/// Returns how many daemons another one holds for being in a state.
fn count_state(daemon: &support::Daemon, state: &str) -> usize {
    let header = "Authorization: Bearer operator-key\r\n";
    let response = support::Caller::open(daemon.api)
        .exchange("GET", "/v1/daemons", header, b"")
        .unwrap();
    let body = String::from_utf8(response.body).unwrap();
    body.replace(' ', "").matches(&format!("\"state\":\"{state}\"")).count()
}

fn wait_state(daemon: &support::Daemon, state: &str, count: usize) {
    support::wait_for("the state of the members", || {
        (count_state(daemon, state) == count).then_some(())
    });
}

fn call(daemon: &support::Daemon, body: &str) -> u16 {
    let response = support::Caller::open(daemon.entry)
        .exchange("POST", "/s/echo", "", body.as_bytes())
        .unwrap();
    assert!(response.status != 200 || response.body == body.as_bytes());
    response.status
}

fn reached(backend: &support::BackendServer) -> usize {
    let requests = backend.requests.try_iter();
    requests.filter(|request| request.path == "/echo").count()
}

/// Two servers and an entry daemon that know only the store.
fn three_through(store: &Store, backends: [&support::BackendServer; 2]) -> [support::Daemon; 3] {
    let settings = store.settings();
    let daemons = [
        support::Daemon::beside(backends[0], &settings),
        support::Daemon::beside(backends[1], &settings),
        support::Daemon::start("entry", &settings),
    ];
    for daemon in &daemons {
        wait_state(daemon, "up", 3);
    }
    daemons
}

/// Guards against daemons that need seeds although the store is there, against a killed one that still gets calls after
/// it was noticed, and against a frozen one that does not come back.
#[test]
fn daemons_find_each_other_through_the_store() {
    let store = Store::start();
    let (first, second) = (echo(), echo());
    let [mut killed, frozen, entry] = three_through(&store, [&first, &second]);
    assert_eq!(store.rows(), 3);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("before {number}")), 200);
    }
    assert_eq!(reached(&first) + reached(&second), 20);
    killed.kill();
    wait_state(&entry, "dead", 1);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("after {number}")), 200);
    }
    assert_eq!((reached(&first), reached(&second)), (0, 20));
    frozen.signal("STOP");
    wait_state(&entry, "dead", 2);
    assert_eq!(call(&entry, "frozen"), 503);
    frozen.signal("CONT");
    wait_state(&entry, "up", 2);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("back {number}")), 200);
    }
    assert_eq!((reached(&first), reached(&second)), (0, 20));
}

/// Guards against a join that depends on the store, against work for a leaving server while the store is down, and
/// against one that leaves unnoticed.
#[test]
fn seeds_replace_a_store_that_is_down() {
    let mut store = Store::start();
    let (first, second) = (echo(), echo());
    let mut leaving = support::Daemon::beside(&first, &store.settings());
    leaving.wait_ready();
    store.stop();
    let settings = format!(r#"{},"seeds":["{}"]"#, store.settings(), leaving.peer);
    let stays = support::Daemon::beside(&second, &settings);
    let entry = support::Daemon::start("entry", &settings);
    for daemon in [&leaving, &stays, &entry] {
        wait_state(daemon, "up", 3);
    }
    leaving.terminate();
    wait_state(&entry, "up", 2);
    reached(&first);
    for number in 0..20 {
        assert_eq!(call(&entry, &format!("{number}")), 200);
    }
    assert_eq!((reached(&first), reached(&second)), (0, 20));
    assert_eq!(leaving.exit_code(), Some(0));
    wait_state(&entry, "left", 1);
}
