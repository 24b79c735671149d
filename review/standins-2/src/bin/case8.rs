//! A server leaves while the store is silent, then all daemons are killed, and a heartbeat of the server arrives late.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

use review_standins_2::clock;
use review_standins_2::daemon;
use review_standins_2::http;
use review_standins_2::record::Record;
use review_standins_2::site::Site;

/// Time for which the store is silent: that of `platform_down` in the site's list of troubles.
const SILENCE_MS: u128 = 4_500;
/// `StabilityWindow` of the settings.
const STABILITY_MS: u128 = 4_000;
/// `Drain` of the settings.
const DRAIN_MS: u128 = 2_500;
/// Pause before the platform starts a killed process again.
const RESTART_MS: u64 = 500;
/// Time for which requests are sent at the end.
const CHECK_MS: u128 = 3_000;
/// The leaving server is that of the second machine.
const LEAVING: usize = 1;
const SERVICES: [&str; 3] = ["alpha", "beta", "beta"];

const CONFIG: &str = r#"{"Version":1,"Routes":{"work":{"Host":"work.example","Prefix":"/orders/","Kind":"non_idempotent",
    "Timeout":"2000ms","TargetLatency":"2000ms","Priority":0,"Service":"beta","MaxAttempts":2}},
    "Services":{"alpha":{"HealthPath":"/health","MaxConnections":352,"Protocol":"h1","Tls":false},
    "beta":{"HealthPath":"/health","MaxConnections":352,"Protocol":"h1","Tls":false}},
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule held.
fn run(trouble: bool) -> Result<bool, String> {
    let record = Record::create(Path::new("review/8/record.txt")).map_err(|error| error.to_string())?;
    let mut site = Site::start("8", &record, CONFIG, &SERVICES, 260)?;
    if !clock::wait_for(10_000, || (0..3).all(|index| call(&site, &record, index, "first"))) {
        return Err("requests are not answered".to_owned());
    }
    clock::sleep_ms(STABILITY_MS as u64);
    let silent_since = clock::run_ms();
    if trouble {
        site.store.set_silent(true);
        record.line("store: silent");
    }
    clock::sleep_ms(200);
    // The last heartbeat of the leaving server is on its way for some seconds.
    let server = std::sync::Arc::clone(&site.servers[LEAVING]);
    server.heartbeats.store(false, Ordering::SeqCst);
    let late_sequence = server.sequence.fetch_add(1, Ordering::SeqCst) + 1;
    record.line(&format!(
        "server {} sends heartbeat {late_sequence}, ready, which is late",
        server.instance
    ));
    clock::sleep_ms(100);
    record.line(&format!("server {} deregisters, and serves on", server.instance));
    if !server.deregister() {
        if !trouble {
            return Err("the deregistration was not acknowledged within a second".to_owned());
        }
        // Nobody is bound. The server exits some seconds later.
        record.line("deregistration not acknowledged");
        println!("the deregistration was not acknowledged");
        site.remove_folder();
        return Ok(true);
    }
    let acknowledged = clock::run_ms();
    record.line("deregistration acknowledged");
    if trouble {
        clock::sleep_ms(100);
        for daemon in &mut site.daemons {
            daemon.kill();
        }
        record.line("all daemons killed");
        clock::sleep_ms(RESTART_MS);
        for daemon in &mut site.daemons {
            daemon.start().map_err(|error| error.to_string())?;
        }
        record.line("all daemons started again");
        clock::sleep_ms(300);
    } else {
        clock::sleep_ms(900);
    }
    let taken = server.send_heartbeat("ready", late_sequence);
    record.line(&format!(
        "heartbeat {late_sequence} arrives late; acknowledged: {taken}"
    ));
    while clock::run_ms() < silent_since + SILENCE_MS {
        clock::sleep_ms(10);
    }
    site.store.set_silent(false);
    record.line("store: answers");
    let stable = clock::run_ms();
    if !clock::wait_for(4_000, || site.daemons.iter().all(daemon::Daemon::is_ready)) {
        return Err("daemons are not ready after the silence".to_owned());
    }
    // From here on the store is stable, and all machines are in touch.
    while clock::run_ms() < stable + STABILITY_MS + 200 {
        clock::sleep_ms(10);
    }
    let before = server.runs.lock().unwrap().len();
    let checked = clock::run_ms();
    let mut sent = 0;
    while clock::run_ms() < checked + CHECK_MS {
        for index in 0..SERVICES.len() {
            call(&site, &record, index, &format!("r{sent}"));
            sent += 1;
        }
        clock::sleep_ms(50);
    }
    let runs = server.runs.lock().unwrap();
    let late = runs[before..]
        .iter()
        .filter(|run| run.at_ms > acknowledged + DRAIN_MS)
        .count();
    record.line(&format!(
        "{sent} requests sent; {late} reached server {} later than Drain after the acknowledgement",
        server.instance
    ));
    println!("{late} of {sent} requests reached the server that had left");
    drop(runs);
    site.remove_folder();
    Ok(late == 0)
}

/// Sends a request to the daemon of a machine, and returns whether it was served.
fn call(site: &Site, record: &Record, index: usize, id: &str) -> bool {
    let headers = [
        ("Host", "work.example"),
        ("Damasktrack-Attempt-Id", id),
        ("Damasktrack-Deadline-Ms", "2000"),
    ];
    let address = site.daemons[index].socket(daemon::OUTBOUND_PORT);
    let answer = http::call(address, "POST /orders/x HTTP/1.1", &headers, b"", 3_000);
    let status = answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
    record.line(&format!("client at machine {}: {id} -> {status}", index + 1));
    status == "200"
}
