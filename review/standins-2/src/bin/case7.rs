//! Many callers at once, each with one request within the limits of the configuration: a long head, and a short body in
//! small chunks.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::clock;
use review_standins_2::daemon;
use review_standins_2::http;
use review_standins_2::record::Record;
use review_standins_2::site::Site;

/// Memory of the smallest machines of the sheets, which have 4,100 descriptors.
const MEMORY_MB: u32 = 160;
/// Memory above which the platform kills a process, in KiB, with the larger meaning of MB.
const MAX_MEMORY_KB: u64 = 160 * 1024;
/// Callers at one machine. A daemon with 4,100 descriptors takes 1,950.
const CROWD: usize = 1_900;
/// Callers without the disruption, as many as a zone of the sheets has.
const CALM_CROWD: usize = 30;
const CROWDS: usize = 3;
/// Headers of a request besides the four that each has; with them its head has 15.9 of the 16.4 KB that are allowed.
const HEADERS: usize = 95;
const NAME_BYTES: usize = 160;
/// Time that a server works on a request.
const WORK_MS: u64 = 250;
/// Time for which a crowd waits for its answers.
const CROWD_MS: u64 = 2_500;
/// Pause before the platform starts a process again.
const RESTART_MS: u64 = 500;
/// Ends of processes on one machine, and machines with so many, that break the rule.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;
const SERVICES: [&str; 3] = ["alpha", "beta", "beta"];

const CONFIG: &str = r#"{"Version":1,"Routes":{"browse":{"Host":"work.example","Prefix":"/browse/","Kind":"idempotent",
    "Timeout":"5000ms","TargetLatency":"1500ms","Priority":1,"Service":"beta","MaxAttempts":2}},
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
    let record = Record::create(Path::new("review/7/record.txt")).map_err(|error| error.to_string())?;
    let mut site = Site::start("7", &record, CONFIG, &SERVICES, MEMORY_MB)?;
    for server in &site.servers {
        server.work_ms.store(WORK_MS, Ordering::SeqCst);
    }
    let mut ends = [0; SERVICES.len()];
    let callers = if trouble { CROWD } else { CALM_CROWD };
    for crowd in 0..CROWDS {
        for machine in 0..2 {
            if !clock::wait_for(10_000, || (0..SERVICES.len()).all(|index| ordinary(&site, index))) {
                return Err(format!(
                    "ordinary requests are not answered; {}",
                    site.folder().display()
                ));
            }
            record.line(&format!("crowd {crowd}: {callers} callers at machine {}", machine + 1));
            let entry = site.daemons[machine].socket(daemon::OUTBOUND_PORT);
            let sender = thread::spawn(move || send_crowd(entry, callers, crowd));
            let killed = watch(&mut site, &record, &mut ends)?;
            let (sent, statuses) = sender.join().map_err(|_| "crowd failed".to_owned())?;
            record.line(&format!(
                "crowd {crowd}: {sent} requests sent, answers by status: {statuses}"
            ));
            for index in killed {
                clock::sleep_ms(RESTART_MS);
                site.daemons[index].start().map_err(|error| error.to_string())?;
                record.line(&format!("machine {}: process started again", index + 1));
            }
        }
    }
    let machines = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    record.line(&format!("processes that ended, by machine: {ends:?}"));
    println!("processes that ended, by machine: {ends:?}");
    site.remove_folder();
    Ok(machines < MAX_MACHINES)
}

/// Kills the processes that exceed their memory, as the platform does, for the time of a crowd. Returns their machines.
fn watch(site: &mut Site, record: &Record, ends: &mut [usize]) -> Result<Vec<usize>, String> {
    let end = Instant::now() + Duration::from_millis(CROWD_MS);
    let mut killed = Vec::new();
    let mut most = [0; SERVICES.len()];
    while Instant::now() < end {
        for index in 0..site.daemons.len() {
            if killed.contains(&index) {
                continue;
            }
            let memory = site.daemons[index].memory_kb("VmRSS:");
            most[index] = memory.max(most[index]);
            let lives = site.daemons[index].runs();
            if memory > MAX_MEMORY_KB || !lives {
                site.daemons[index].kill();
                let cause = if lives { "killed for its memory" } else { "ended" };
                record.line(&format!("machine {}: process {cause}, {memory} KiB", index + 1));
                ends[index] += 1;
                killed.push(index);
            }
        }
        thread::sleep(Duration::from_millis(3));
    }
    record.line(&format!("most memory seen, by machine: {most:?} KiB"));
    Ok(killed)
}

/// Whether a request with a short head is answered.
fn ordinary(site: &Site, machine: usize) -> bool {
    let headers = [
        ("Host", "work.example"),
        ("Damasktrack-Attempt-Id", "ordinary"),
        ("Damasktrack-Deadline-Ms", "5000"),
    ];
    let address = site.daemons[machine].socket(daemon::OUTBOUND_PORT);
    let answer = http::call(address, "GET /browse/x HTTP/1.1", &headers, b"", 3_000);
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Sends a request on each of `callers` connections, and returns how many were sent and the statuses of the answers.
fn send_crowd(entry: SocketAddr, callers: usize, crowd: usize) -> (usize, String) {
    let mut streams = Vec::new();
    for _ in 0..callers {
        match TcpStream::connect_timeout(&entry, Duration::from_secs(1)) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
                streams.push(stream);
            }
            // The limit on open files is too low for the crowd.
            Err(error) if error.raw_os_error() == Some(24) => std::process::exit(2),
            Err(_) => {}
        }
    }
    let padding = "n".repeat(NAME_BYTES - 4);
    let fields: String = (0..HEADERS)
        .map(|index| format!("x{index:02}-{padding}: v\r\n"))
        .collect();
    let mut sent = 0;
    for (number, stream) in streams.iter_mut().enumerate() {
        let head = format!(
            "POST /browse/x HTTP/1.1\r\nHost: work.example\r\nDamasktrack-Attempt-Id: c{crowd}-{number}\r\n\
             Damasktrack-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n{fields}\r\n"
        );
        assert!(head.len() < 16_384, "the head is within MaxHeaderBytes");
        let request = format!("{head}{}0\r\n\r\n", "4\r\nbody\r\n".repeat(8));
        sent += usize::from(stream.write_all(request.as_bytes()).is_ok());
    }
    clock::sleep_ms(1_000);
    let mut statuses = std::collections::BTreeMap::new();
    for stream in streams {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(2)));
        let mut reader = std::io::BufReader::new(stream);
        let status = match http::read(&mut reader) {
            Ok(Some(answer)) => answer.status().to_string(),
            Ok(None) => "closed".to_owned(),
            Err(_) => "none".to_owned(),
        };
        *statuses.entry(status).or_insert(0) += 1;
    }
    (sent, format!("{statuses:?}"))
}
