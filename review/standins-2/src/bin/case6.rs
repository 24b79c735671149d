//! A change of the configuration, a store that is silent for half a second behind it, and another change later.

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standins_2::clock;
use review_standins_2::daemon;
use review_standins_2::http;
use review_standins_2::record::Record;
use review_standins_2::site::Site;

const SILENCE_MS: u64 = 500;
/// `StabilityWindow` of the settings.
const STABILITY_MS: u64 = 4_000;
/// `ConfigApply` of the settings.
const CONFIG_APPLY_MS: u128 = 2_500;
/// Time for which requests are sent after the last change.
const CHECK_MS: u128 = 8_000;
const SERVICES: [&str; 4] = ["alpha", "beta", "alpha", "beta"];

fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":{{"work":{{"Host":"work.example","Prefix":"/orders/","Kind":"non_idempotent",
        "Timeout":"2000ms","TargetLatency":"2000ms","Priority":0,"Service":"{service}","MaxAttempts":2}}}},
        "Services":{{"alpha":{{"HealthPath":"/health","MaxConnections":352,"Protocol":"h1","Tls":false}},
        "beta":{{"HealthPath":"/health","MaxConnections":352,"Protocol":"h1","Tls":false}}}},
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
    let record = Record::create(Path::new("review/6/record.txt")).map_err(|error| error.to_string())?;
    let site = Site::start("6", &record, &config(1, "alpha"), &SERVICES, 260)?;
    let daemons = SERVICES.len();
    // All daemons follow the store, and are in touch.
    if !clock::wait_for(10_000, || site.store.waiting() == daemons) {
        return Err("not all daemons follow the store".to_owned());
    }
    clock::sleep_ms(STABILITY_MS);
    record.line("operator: version 2, /orders/ goes to beta");
    if trouble {
        let silencer = site.store.clone();
        let silent = thread::spawn(move || silencer.silence_after(daemons));
        site.store.configure(&config(2, "beta"));
        silent.join().map_err(|_| "silence failed".to_owned())?;
        record.line("store: silent");
        clock::sleep_ms(SILENCE_MS);
        site.store.set_silent(false);
        record.line("store: answers again");
    } else {
        site.store.configure(&config(2, "beta"));
        clock::sleep_ms(SILENCE_MS);
    }
    clock::sleep_ms(STABILITY_MS + 500);
    let service = call(&site, &record, 0, "check");
    if service != "beta" {
        return Err(format!("version 2 is not in force: {service}"));
    }
    site.store.configure(&config(3, "alpha"));
    let acknowledged = clock::run_ms();
    record.line("operator: version 3, /orders/ goes to alpha; acknowledged");
    let (mut sent, mut stale) = (0, 0);
    while clock::run_ms() < acknowledged + CHECK_MS {
        for index in 0..daemons {
            let at = clock::run_ms();
            let service = call(&site, &record, index, &format!("r{sent}"));
            sent += 1;
            if at > acknowledged + CONFIG_APPLY_MS && service == "beta" {
                stale += 1;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "{sent} requests after version 3; {stale} of those sent over {CONFIG_APPLY_MS} ms later were run by beta, as only version 2 allows"
    ));
    println!("{stale} requests handled as only an older version allows");
    site.remove_folder();
    Ok(stale == 0)
}

/// Sends a request to the daemon of a machine, and returns the service that answered.
fn call(site: &Site, record: &Record, index: usize, id: &str) -> String {
    let headers = [
        ("Host", "work.example"),
        ("Damasktrack-Attempt-Id", id),
        ("Damasktrack-Deadline-Ms", "2000"),
    ];
    let address = site.daemons[index].socket(daemon::OUTBOUND_PORT);
    let answer = http::call(address, "POST /orders/x HTTP/1.1", &headers, b"", 3_000);
    let (status, service) = match &answer {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            (answer.status(), body.split(':').next().unwrap_or("").to_owned())
        }
        Err(error) => (0, error.to_string()),
    };
    record.line(&format!("client at machine {}: {id} -> {status} {service}", index + 1));
    service
}
