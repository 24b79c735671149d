//! The limit of the only limited tenant is taken back and set again within a moment.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use review_standins_2::clock;
use review_standins_2::daemon;
use review_standins_2::http::Connection;
use review_standins_2::record::Record;
use review_standins_2::site::Site;

const RATE: f64 = 100.0;
const BURST: f64 = 50.0;
/// Bounds of the sheet with tenants.
const BOUNDS: &str = "QuotaWindow = \"5s\"\nQuotaOver = 0.1\nQuotaSlack = 20\n";
const WINDOW_MS: u128 = 5_000;
/// `ConfigApply` of the sheet with tenants.
const CONFIG_APPLY_MS: u128 = 3_000;
/// Time from the start to the first version with a limit.
const UNLIMITED_MS: u64 = 5_000;
/// Time for which the limit is in force at first.
const LIMITED_MS: u64 = 4_600;
/// Time between the version without the limit and that with it.
const GAP_MS: u64 = 300;
/// Time from the last version to the heavy traffic, and from there to the end.
const QUIET_MS: u64 = 8_300;
const HEAVY_MS: u64 = 8_000;
const CLIENTS: u64 = 10;
/// Pauses of a client between two requests: 50, 20, and over 500 requests a second of all clients.
const USUAL_PAUSE_MS: u64 = 200;
const QUIET_PAUSE_MS: u64 = 500;
const HEAVY_PAUSE_MS: u64 = 10;
const SERVICES: [&str; 2] = ["alpha", "beta"];

/// Most requests of a window: (`RatePerS` x window + `Burst`) x (1 + `QuotaOver`) + `QuotaSlack`.
fn allowed() -> usize {
    ((RATE * WINDOW_MS as f64 / 1000.0 + BURST) * 1.1 + 20.0) as usize
}

fn config(version: u32, limited: bool) -> String {
    let limit = if limited {
        format!(r#","RatePerS":{RATE},"Burst":{BURST}"#)
    } else {
        String::new()
    };
    format!(
        r#"{{"Version":{version},"Routes":{{"work":{{"Host":"work.example","Prefix":"/orders/","Kind":"non_idempotent",
        "Timeout":"2000ms","TargetLatency":"2000ms","Priority":0,"Service":"beta","MaxAttempts":2}}}},
        "Services":{{"alpha":{{"HealthPath":"/health","MaxConnections":352,"Protocol":"h1","Tls":false}},
        "beta":{{"HealthPath":"/health","MaxConnections":352,"Protocol":"h1","Tls":false}}}},
        "Tenants":{{"t1":{{"ApiKeys":["key-1"]{limit}}}}},
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}}}"#
    )
}

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
    let record = Record::create(Path::new("review/10/record.txt")).map_err(|error| error.to_string())?;
    let site = Site::start_with_bounds("10", &record, &config(1, false), &SERVICES, 260, BOUNDS)?;
    clock::sleep_ms(UNLIMITED_MS);
    site.store.configure(&config(2, true));
    record.line("operator: version 2, t1 has a limit; acknowledged");
    let (stop, pause) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(USUAL_PAUSE_MS)),
    );
    let entry = site.daemons[0].socket(daemon::OUTBOUND_PORT);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| start_client(client, entry, &stop, &pause, &record))
        .collect();
    clock::sleep_ms(LIMITED_MS);
    pause.store(QUIET_PAUSE_MS, Ordering::SeqCst);
    if trouble {
        site.store.configure(&config(3, false));
        record.line("operator: version 3, no limit for t1; acknowledged");
        clock::sleep_ms(GAP_MS);
        site.store.configure(&config(4, true));
        record.line("operator: version 4, the limit of t1 as before; acknowledged");
    } else {
        clock::sleep_ms(GAP_MS);
    }
    let set = clock::run_ms();
    clock::sleep_ms(QUIET_MS);
    record.line("clients: heavy traffic");
    pause.store(HEAVY_PAUSE_MS, Ordering::SeqCst);
    clock::sleep_ms(HEAVY_MS);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = site.servers[1].runs.lock().unwrap();
    // The last part of an id is the time at which the request was sent.
    let sent_at = |id: &str| id.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let times: Vec<(u128, u128)> = runs.iter().map(|run| (sent_at(&run.id), run.at_ms)).collect();
    drop(runs);
    // The limit binds one window after all machines have been in touch ConfigApply past its acknowledgement.
    let binding = set + CONFIG_APPLY_MS + WINDOW_MS;
    let windows = times.iter().filter(|(start, _)| *start >= binding).map(|(start, _)| {
        let in_window = |run: &&(u128, u128)| run.0 >= *start && run.1 < *start + WINDOW_MS;
        times.iter().filter(in_window).count()
    });
    let most = windows.max().unwrap_or(0);
    let result = format!("most requests of t1 run in a window: {most}; allowed: {}", allowed());
    record.line(&result);
    println!("{result}");
    site.remove_folder();
    Ok(most <= allowed())
}

/// Starts a client that sends one request after the other on a kept connection.
fn start_client(
    client: u64,
    entry: SocketAddr,
    stop: &Arc<AtomicBool>,
    pause: &Arc<AtomicU64>,
    record: &Record,
) -> JoinHandle<()> {
    let (stop, pause, record) = (Arc::clone(stop), Arc::clone(pause), record.clone());
    thread::spawn(move || {
        clock::sleep_ms(600 + 20 * client);
        let (mut kept, mut number) = (None, 0);
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("c{client}-{number}-{}", clock::run_ms());
            let headers = [
                ("Host", "work.example"),
                ("Damasktrack-Attempt-Id", id.as_str()),
                ("Damasktrack-Deadline-Ms", "1000"),
                ("Damasktrack-Credential", "key-1"),
            ];
            let open = kept.take().map_or_else(|| Connection::open(entry, 3_000), Ok);
            if let Ok(mut connection) = open {
                match connection.call("POST /orders/x HTTP/1.1", &headers, b"") {
                    Ok(answer) => {
                        record.line(&format!("client: {id} -> {}", answer.status()));
                        kept = Some(connection);
                    }
                    Err(error) => record.line(&format!("client: {id} -> {error}")),
                }
            }
            clock::sleep_ms(pause.load(Ordering::SeqCst));
        }
    })
}
