//! The cases. Each returns whether its rule held.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Answer, Call, Connection};
use crate::record::Record;
use crate::server::Run;
use crate::site::{self, Site};

/// `StabilityWindow` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_millis(4000);
/// `Drain` of the settings.
const DRAIN: Duration = Duration::from_millis(2500);
/// Margin for requests that were taken before a bound and arrive after it.
const ON_THE_WAY: Duration = Duration::from_millis(100);
/// `Recovery` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);

/// A route of the configuration: name, path, kind, service and timeout.
pub type Route<'a> = (&'a str, &'a str, &'a str, &'a str, &'a str);

/// Returns the text of a configuration for host `shop.example`.
pub fn config(version: u64, routes: &[Route<'_>]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, service, timeout)| {
            format!(
                "\"{name}\":{{\"Host\":\"shop.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
                 \"Timeout\":\"{timeout}\",\"TargetLatency\":\"1500ms\",\"Priority\":0,\"Service\":\"{service}\",\
                 \"MaxAttempts\":2}}"
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.3).chain(["shop"]).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "\"{name}\":{{\"HealthPath\":\"/health\",\"MaxConnections\":352,\"Protocol\":\"h1\",\"Tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":{{{}}},\"Services\":{{{}}},\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}}}",
        rules.join(","),
        services.join(",")
    )
}

/// A server deregisters and serves on for some seconds. Its daemon is killed and started again, and a heartbeat from
/// before the deregistration arrives late.
pub fn departed(record: &Record, trouble: bool) -> io::Result<bool> {
    let config = config(7, &[("orders", "/orders/", "non_idempotent", "orders", "3000ms")]);
    let site = Site::start(&["orders", "orders", "shop"], &config, record)?;
    let clients = Clients::start(&site, 2, 4, "/orders/20");
    thread::sleep(Duration::from_secs(2));
    let leaving = &site.machines[0];
    let before = leaving.server.runs.lock().unwrap().len();
    record.say(&format!("{} ran {before} requests so far", leaving.server.instance));

    leaving.beating.store(false, Ordering::SeqCst);
    let late = leaving.server.next_heartbeat(leaving.control(), "ready");
    record.say("the server sends its last heartbeat, which is on its way for 2.2 s");
    let sent = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let status = site::tell(leaving.control(), &leaving.server.deregistration(leaving.control()))?;
    let acknowledged = record.now();
    leaving.server.leaving.store(true, Ordering::SeqCst);
    record.say(&format!("the server deregisters: {status}; it serves on for 12 s"));
    if status != 200 {
        return Err(io::Error::other("the deregistration was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        site.kill_daemon(0);
        thread::sleep(Duration::from_millis(500));
        site.start_daemon(0)?;
    }
    thread::sleep(Duration::from_millis(2200).saturating_sub(sent.elapsed()));
    let status = site::tell(leaving.control(), &late)?;
    record.say(&format!("the late heartbeat arrives: {status}"));
    thread::sleep((acknowledged + Duration::from_secs(12)).saturating_sub(record.now()));
    clients.end();
    // The machine that passes the requests on is in touch from then on; the one that took them was never disturbed.
    let in_touch = *leaving.started.lock().unwrap() + STABILITY_WINDOW + ON_THE_WAY;
    let from = in_touch.max(acknowledged + DRAIN + ON_THE_WAY);
    let runs = leaving.server.runs.lock().unwrap().clone();
    let after: Vec<_> = runs.iter().filter(|run| run.at > acknowledged + DRAIN).collect();
    let counted: Vec<_> = after.iter().filter(|run| run.at > from).collect();
    record.say(&format!(
        "{} requests reached the server later than 2.5 s after the acknowledgement, {} of them with all machines in touch",
        after.len(),
        counted.len()
    ));
    if let Some(first) = counted.first() {
        record.say(&format!("the first: {} at {:.3} s", first.id, first.at.as_secs_f64()));
    }
    Ok(counted.is_empty())
}

/// What a client saw of a request that must not run twice.
struct Seen {
    id: String,
    /// Whether the request went out on a kept connection.
    kept: bool,
    answer: Answer,
    elapsed: Duration,
}

/// Clients that send requests that must not run twice, one after the other, each on a kept connection.
struct Clients {
    ended: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(site: &Site, machine: usize, count: usize, path: &'static str) -> Self {
        let address = site.machines[machine].outbound();
        let (ended, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let mut threads = Vec::new();
        for number in 0..count {
            let (record, ended, seen) = (site.record.clone(), Arc::clone(&ended), Arc::clone(&seen));
            threads.push(thread::spawn(move || {
                // Clients in step would all be between two requests at the same moments.
                thread::sleep(Duration::from_millis(40 * number as u64));
                let mut connection = Connection::new(address);
                let mut sequence = 0;
                while !ended.load(Ordering::SeqCst) {
                    sequence += 1;
                    let call = Call {
                        method: "POST",
                        host: "shop.example",
                        path: path.to_owned(),
                        id: format!("c{number}-{sequence}"),
                        deadline: Duration::from_secs(3),
                        body: 200,
                    };
                    record.line(&format!("send {} {path}", call.id));
                    let began = Instant::now();
                    let (kept, answer) = connection.call(&call, Duration::from_secs(4));
                    record.line(&format!("answer {} kept={kept} {}", call.id, brief(&answer)));
                    seen.lock().unwrap().push(Seen {
                        id: call.id,
                        kept,
                        answer,
                        elapsed: began.elapsed(),
                    });
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
        Self { ended, seen, threads }
    }

    fn end(self) -> Vec<Seen> {
        self.ended.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut self.seen.lock().unwrap())
    }
}

/// Returns how many requests were passed on, as `runs` shows, and lost with their kept connection.
fn count_lost(record: &Record, seen: &[Seen], runs: &[Run]) -> usize {
    let broken = seen
        .iter()
        .filter(|seen| seen.kept && matches!(seen.answer, Answer::Broken(_)));
    let lost: Vec<&Seen> = broken.filter(|seen| runs.iter().any(|run| run.id == seen.id)).collect();
    for seen in &lost {
        record.say(&format!(
            "{} was passed on, and its kept connection closed without an answer",
            seen.id
        ));
    }
    record.say(&format!(
        "{} requests lost on kept connections; the rule allows 3",
        lost.len()
    ));
    lost.len()
}

fn say_memory(record: &Record, site: &Site) {
    for machine in &site.machines {
        let (peak, ends) = (
            *machine.peak_mb.lock().unwrap(),
            machine.memory_kills.lock().unwrap().len(),
        );
        record.say(&format!("{}: at most {peak} MB, {ends} ends for memory", machine.name));
    }
}

pub fn brief(answer: &Answer) -> String {
    match answer {
        Answer::Whole(status, sealed, body) => format!("{status} sealed={sealed} {} bytes", body.len()),
        other => format!("{other:?}"),
    }
}

/// Clients upload files while small requests that must not run twice go through the same daemon. The servers of the
/// uploads read slowly.
pub fn uploads(record: &Record, trouble: bool) -> io::Result<bool> {
    let routes = [
        ("files", "/files/", "non_idempotent", "files", "5000ms"),
        ("orders", "/orders/", "non_idempotent", "orders", "3000ms"),
    ];
    let site = Site::start(
        &["files", "files", "files", "orders", "shop"],
        &config(7, &routes),
        record,
    )?;
    site.enforce_memory();
    let entry = Arc::clone(&site.machines[4]);
    if trouble {
        for machine in &site.machines[..3] {
            machine.server.read_rate.store(6 << 20, Ordering::SeqCst);
        }
        record.say("the servers of `files` read 6 MiB/s of each request");
    }
    let clients = Clients::start(&site, 4, 8, "/orders/300");
    let served = Arc::new(AtomicU64::new(0));
    let mut uploads = Vec::new();
    for number in 0..40 {
        let (record, served, address) = (record.clone(), Arc::clone(&served), entry.outbound());
        uploads.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                host: "shop.example",
                path: "/files/5".to_owned(),
                id: format!("f{number}"),
                deadline: Duration::from_secs(5),
                body: 24 << 20,
            };
            record.line(&format!("send {} {} 24 MiB", call.id, call.path));
            let answer = client::call_once(address, &call, Duration::from_secs(6));
            record.line(&format!("answer {} {}", call.id, brief(&answer)));
            if answer.status() == 200 {
                served.fetch_add(1, Ordering::SeqCst);
            }
        }));
        thread::sleep(Duration::from_millis(300));
    }
    for upload in uploads {
        let _ = upload.join();
    }
    let seen = clients.end();
    record.say(&format!("{} of 40 uploads served", served.load(Ordering::SeqCst)));
    say_memory(record, &site);
    Ok(count_lost(record, &seen, &site.machines[3].server.runs.lock().unwrap()) <= 3)
}

/// A server answers with one-byte chunks without end. Requests that must not run twice go through the daemon beside it
/// to a sound server.
pub fn chunks(record: &Record, trouble: bool) -> io::Result<bool> {
    let site = start_faulty(record, trouble, "10s")?;
    let clients = Clients::start(&site, 0, 8, "/orders/300");
    thread::sleep(Duration::from_secs(1));
    request_docs(&site, 42, "/docs/flood/chunks/0");
    let seen = clients.end();
    say_memory(record, &site);
    Ok(count_lost(record, &seen, &site.machines[1].server.runs.lock().unwrap()) <= 3)
}

/// A server answers with informational heads without end. Requests to a sound server go through the daemon beside it.
pub fn heads(record: &Record, trouble: bool) -> io::Result<bool> {
    let site = start_faulty(record, trouble, "5000ms")?;
    let clients = Clients::start(&site, 0, 16, "/orders/20");
    thread::sleep(Duration::from_secs(1));
    request_docs(&site, 16, "/docs/flood/heads/0");
    let seen = clients.end();
    // The timeout of the route is 1 s.
    let overdue = seen
        .iter()
        .filter(|seen| seen.elapsed > Duration::from_millis(1000))
        .count();
    let late: Vec<&Seen> = seen
        .iter()
        .filter(|seen| seen.elapsed > Duration::from_millis(1500))
        .collect();
    for seen in &late {
        record.line(&format!(
            "{} had no answer for {:.3} s",
            seen.id,
            seen.elapsed.as_secs_f64()
        ));
    }
    let longest = seen.iter().map(|seen| seen.elapsed).max().unwrap_or_default();
    record.say(&format!(
        "{} requests; {overdue} unanswered at the timeout of 1 s, {} of them 0.5 s later; the longest {:.3} s",
        seen.len(),
        late.len(),
        longest.as_secs_f64()
    ));
    Ok(late.len() < 8 || late.len() * 2 <= overdue)
}

/// A heartbeat of another writer, which lacks the address, arrives for a server. Later that server reports that it
/// drains, and serves on for some seconds.
pub fn foreign(record: &Record, trouble: bool) -> io::Result<bool> {
    let config = config(7, &[("orders", "/orders/", "non_idempotent", "orders", "3000ms")]);
    let site = Site::start(&["orders", "orders", "shop"], &config, record)?;
    let clients = Clients::start(&site, 2, 4, "/orders/20");
    thread::sleep(Duration::from_secs(2));
    let leaving = &site.machines[0];
    if trouble {
        let (instance, born) = (&leaving.server.instance, leaving.server.born_ms);
        let beat = leaving.server.foreign_heartbeat(leaving.control(), instance, born);
        let status = site::tell(leaving.control(), &beat)?;
        record.say(&format!(
            "a heartbeat without an address arrives at {}: {status}",
            leaving.name
        ));
    }
    thread::sleep(Duration::from_secs(3));
    leaving.draining.store(true, Ordering::SeqCst);
    let beat = leaving.server.next_heartbeat(leaving.control(), "draining");
    let status = site::tell(leaving.control(), &beat)?;
    let acknowledged = record.now();
    leaving.server.leaving.store(true, Ordering::SeqCst);
    record.say(&format!(
        "the server reports that it drains: {status}; it serves on for 10 s"
    ));
    if status != 200 {
        return Err(io::Error::other("the report was not acknowledged"));
    }
    thread::sleep((acknowledged + Duration::from_secs(10)).saturating_sub(record.now()));
    clients.end();
    let runs = leaving.server.runs.lock().unwrap();
    let after: Vec<_> = runs
        .iter()
        .filter(|run| run.at > acknowledged + DRAIN + ON_THE_WAY)
        .collect();
    record.say(&format!(
        "{} requests reached the server later than 2.5 s after the acknowledgement, all machines in touch",
        after.len()
    ));
    if let Some(first) = after.first() {
        record.say(&format!("the first: {} at {:.3} s", first.id, first.at.as_secs_f64()));
    }
    Ok(after.is_empty())
}

/// Not one of the five cases: all daemons are killed right after a configuration is acknowledged, and start again. Each
/// then gets a heartbeat of another writer with an id of its own, which lacks the address.
pub fn recover(record: &Record, trouble: bool) -> io::Result<bool> {
    let routes = [("orders", "/orders/", "non_idempotent", "orders", "3000ms")];
    let site = Site::start(&["orders", "orders", "shop"], &config(7, &routes), record)?;
    let clients = Clients::start(&site, 2, 4, "/orders/20");
    thread::sleep(Duration::from_secs(4));
    let before = clients.end();
    let served = |seen: &[Seen]| seen.iter().filter(|seen| seen.answer.status() == 200).count();
    record.say(&format!(
        "before the final fault {} of {} requests served",
        served(&before),
        before.len()
    ));
    site.store.put("op", "config", &config(9, &routes));
    record.say("version 9 of the configuration is acknowledged");
    for machine in 0..site.machines.len() {
        site.kill_daemon(machine);
    }
    thread::sleep(Duration::from_millis(1300));
    for machine in 0..site.machines.len() {
        site.start_daemon(machine)?;
    }
    let back = record.now();
    thread::sleep(Duration::from_millis(3000));
    if trouble {
        for machine in &site.machines {
            let born = machine.server.born_ms + 1_000;
            let beat = machine.server.foreign_heartbeat(machine.control(), "i-unknown", born);
            let status = site::tell(machine.control(), &beat)?;
            record.say(&format!(
                "a heartbeat without an address arrives at {}: {status}",
                machine.name
            ));
        }
    }
    thread::sleep((back + RECOVERY).saturating_sub(record.now()));
    let clients = Clients::start(&site, 2, 4, "/orders/20");
    thread::sleep(Duration::from_secs(6));
    let after = clients.end();
    record.say(&format!(
        "later than 15 s after the machines were back {} of {} served",
        served(&after),
        after.len()
    ));
    Ok(served(&after) * 4 >= after.len() || served(&before) * 4 < before.len())
}

/// Not one of the five cases: an entry of another writer, which names an unknown service, lies in the table of members
/// when a daemon on another machine is killed and started again.
pub fn entry(record: &Record, trouble: bool) -> io::Result<bool> {
    let routes = [("orders", "/orders/", "non_idempotent", "orders", "3000ms")];
    let site = Site::start(&["orders", "orders", "docs", "shop"], &config(7, &routes), record)?;
    let machine = &site.machines[2];
    let clients = Clients::start(&site, 2, 8, "/orders/300");
    thread::sleep(Duration::from_secs(32));
    if trouble {
        let row = format!(
            "{{\"daemon_id\":\"{}\",\"started_ms\":{},\"incarnation\":\"0000000000000001\",\"version\":1,\
             \"address\":\"{}\",\"service\":\"unknown\",\"region\":\"dk-east\",\"data_centre\":\"east-a\",\
             \"slots\":42}}",
            machine.name,
            machine.server.born_ms + 30_000,
            machine.internal(),
        );
        site.store.put("members", &machine.name, &row);
        record.say(&format!(
            "an entry of another writer stands for {}, service unknown",
            machine.name
        ));
    }
    thread::sleep(Duration::from_secs(1));
    site.kill_daemon(3);
    thread::sleep(Duration::from_millis(500));
    site.start_daemon(3)?;
    thread::sleep(Duration::from_secs(6));
    record.say(&format!(
        "the daemon of {} has exited: {}",
        machine.name,
        machine.has_exited()
    ));
    let seen = clients.end();
    let runs = [0, 1].map(|index| site.machines[index].server.runs.lock().unwrap().clone());
    Ok(count_lost(record, &seen, &runs.concat()) <= 3)
}

/// Starts a site whose first server may be faulty.
fn start_faulty(record: &Record, trouble: bool, timeout: &str) -> io::Result<Site> {
    let routes = [
        ("docs", "/docs/", "idempotent", "docs", timeout),
        ("orders", "/orders/", "non_idempotent", "orders", "1000ms"),
    ];
    let site = Site::start(&["docs", "orders", "shop"], &config(7, &routes), record)?;
    site.enforce_memory();
    site.machines[0].server.faulty.store(trouble, Ordering::SeqCst);
    Ok(site)
}

/// Sends requests to the first server from the third machine at once, and waits for their ends.
fn request_docs(site: &Site, count: usize, path: &str) {
    let address = site.machines[2].outbound();
    let mut threads = Vec::new();
    for number in 0..count {
        let record = site.record.clone();
        let call = Call {
            method: "GET",
            host: "shop.example",
            path: path.to_owned(),
            id: format!("d{number}"),
            deadline: Duration::from_secs(10),
            body: 0,
        };
        threads.push(thread::spawn(move || {
            record.line(&format!("send {} {}", call.id, call.path));
            let answer = client::call_once(address, &call, Duration::from_secs(11));
            record.line(&format!("answer {} {}", call.id, brief(&answer)));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
}
