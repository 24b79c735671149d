//! Scenario files: one statement a line, `#` starts a comment.
//!
//! ```text
//! seed 7
//! duration 10s                # end of the load
//! measure from 2s to 10s      # requests that start in between are counted
//! entries 6                   # daemons that callers use
//! network 500us               # one-way delay between daemons
//! class filing importance 15 critical deadline 1s allowance 2
//! class ledger importance 5 deadline 30s lane long work 40
//! tenant lahore weight 2
//! service front servers 6 slots 70 time 5ms calls deep
//! service deep servers 6 slots 10 time 50ms
//! load filing tenant lahore rate 100 from 0s to 10s
//! fault slow deep 0 factor 10 from 3s to 5s      # server 0; `all` for every server
//! fault cold deep 0 factor 5 from 3s to 5s       # slow by the factor, falling to 1 at the end
//! fault leave deep 0 from 3s
//! expect completed filing >= 0.99
//! ```

use std::time;

use crate::control_arm;

/// Contents of a scenario file.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Mechanisms that limit, queue and retry the calls.
    pub arm: control_arm::ControlArm,
    /// End of the load; the run ends when its last request has ended.
    pub duration: time::Duration,
    /// Requests that start in this span are counted.
    pub measure: (time::Duration, time::Duration),
    /// Number of daemons that callers use.
    pub entries: usize,
    /// One-way delay between two daemons, and between a caller and its daemon.
    pub network: time::Duration,
    /// Age of the backend servers' load reports.
    pub report_lag: time::Duration,
    /// Classes in the order of the file.
    pub classes: Vec<ClassSetting>,
    /// Tenants with their weights.
    pub tenants: Vec<(String, u32)>,
    /// Services; callers call the first.
    pub services: Vec<ServiceSetting>,
    /// Load over time.
    pub loads: Vec<LoadSetting>,
    /// Faults with their times.
    pub faults: Vec<FaultSetting>,
    /// Bounds that the figures of the run have to meet.
    pub expectations: Vec<Expectation>,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassSetting {
    /// Name that `load` and `expect` statements use.
    pub name: String,
    /// Importance from 0 to 15; a greater value in the file is capped at 15.
    pub importance: u8,
    /// Whether the class is shed last.
    pub critical: bool,
    /// Time that callers wait for each try.
    pub deadline: time::Duration,
    /// Retries that the whole request may spend.
    pub allowance: u32,
    /// Whether the class runs in the long lane.
    pub long: bool,
    /// Factor of the service time.
    pub work: f64,
}

/// A service and its backend servers.
#[derive(Clone, Debug)]
pub struct ServiceSetting {
    /// Name that `calls` and `fault` statements use.
    pub name: String,
    /// Number of backend servers.
    pub servers: usize,
    /// Calls that each backend server runs at once.
    pub slots: u32,
    /// Mean service time, without the time of nested calls.
    pub time: time::Duration,
    /// Service that each call calls in turn.
    pub calls: Option<usize>,
}

/// Requests of one class and tenant, arriving at random with a constant rate.
#[derive(Clone, Debug)]
pub struct LoadSetting {
    /// Position of the class.
    pub class: usize,
    /// Position of the tenant.
    pub tenant: usize,
    /// Requests per second.
    pub rate: f64,
    /// Start and end.
    pub span: (time::Duration, time::Duration),
}

/// A fault of one or all backend servers of a service.
#[derive(Clone, Debug)]
pub struct FaultSetting {
    /// Effect on the servers.
    pub kind: FaultKind,
    /// Position of the service.
    pub service: usize,
    /// Position of the server in the service; none for all.
    pub server: Option<usize>,
    /// Start and end.
    pub span: (time::Duration, time::Duration),
}

/// Effect of a fault on a backend server.
#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// Service times are multiplied.
    Slow(f64),
    /// Service times are multiplied by a factor that falls to 1 at the end.
    Cold(f64),
    /// The server leaves.
    Leave,
}

/// A bound on one figure of the run.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// Name of the figure, as in [`crate::world_tally::WorldTally::figure`].
    pub figure: String,
    /// Class that the figure covers; none for all.
    pub class: Option<usize>,
    /// Tenant that the figure covers; none for all.
    pub tenant: Option<usize>,
    /// Whether the figure has to be at least the bound; at most otherwise.
    pub at_least: bool,
    /// Bound on the figure; times are in seconds.
    pub bound: f64,
    /// Line of the file.
    pub line: usize,
}

/// An error in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("line {line}: {message}")]
pub struct ScenarioFinding {
    /// Line, counted from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// Description of the error without the line.
    pub message: String,
}

struct LineReader<'a> {
    line: usize,
    words: Vec<&'a str>,
    findings: Vec<ScenarioFinding>,
}

impl LineReader<'_> {
    fn finding(&mut self, message: String) {
        self.findings.push(ScenarioFinding {
            line: self.line,
            message,
        });
    }

    fn word(&mut self, at: usize) -> String {
        if let Some(word) = self.words.get(at) {
            return (*word).to_owned();
        }
        self.finding(format!("word {} is missing", at + 1));
        String::new()
    }

    fn value(&self, key: &str) -> Option<&str> {
        let at = self.words.iter().position(|word| *word == key)?;
        self.words.get(at + 1).copied()
    }

    fn number(&mut self, key: &str, default: f64) -> f64 {
        let Some(value) = self.value(key).map(str::to_owned) else {
            return default;
        };
        value.parse().unwrap_or_else(|_| {
            self.finding(format!("'{value}' after '{key}' is not a number"));
            default
        })
    }

    fn count(&mut self, key: &str, default: u32) -> u32 {
        let Some(value) = self.value(key).map(str::to_owned) else {
            return default;
        };
        value.parse().unwrap_or_else(|_| {
            self.finding(format!("'{value}' after '{key}' is not a count"));
            default
        })
    }

    fn time(&mut self, key: &str, default: time::Duration) -> time::Duration {
        let Some(value) = self.value(key).map(str::to_owned) else {
            return default;
        };
        parse_time(&value).unwrap_or_else(|| {
            self.finding(format!("'{value}' after '{key}' is not a time such as 20ms"));
            default
        })
    }

    fn span(&mut self, end: time::Duration) -> (time::Duration, time::Duration) {
        (self.time("from", time::Duration::ZERO), self.time("to", end))
    }

    fn position(&mut self, kind: &str, name: &str, names: &[String]) -> usize {
        let at = names.iter().position(|other| other == name);
        at.unwrap_or_else(|| {
            self.finding(format!("no {kind} '{name}'"));
            0
        })
    }
}

fn parse_time(text: &str) -> Option<time::Duration> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let scale = match &text[digits.len()..] {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        _ => return None,
    };
    let value: f64 = digits.parse().ok()?;
    time::Duration::try_from_secs_f64(value * scale).ok()
}

/// Reads a scenario.
///
/// # Errors
/// Returns every finding with its line.
pub fn parse(text: &str) -> Result<Scenario, Vec<ScenarioFinding>> {
    let mut scenario = Scenario {
        seed: 1,
        arm: control_arm::ControlArm::Damasktrack,
        duration: time::Duration::from_secs(10),
        measure: (time::Duration::ZERO, time::Duration::MAX),
        entries: 6,
        network: time::Duration::from_micros(500),
        report_lag: time::Duration::from_secs(1),
        classes: Vec::new(),
        tenants: vec![("default".to_owned(), 1)],
        services: Vec::new(),
        loads: Vec::new(),
        faults: Vec::new(),
        expectations: Vec::new(),
    };
    let mut findings = Vec::new();
    let mut links = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let words: Vec<_> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        let mut reader = LineReader {
            line: index + 1,
            words,
            findings: Vec::new(),
        };
        read_line(&mut scenario, &mut reader, &mut links);
        findings.append(&mut reader.findings);
    }
    for (line, service, callee) in links {
        let at = scenario.services.iter().position(|other| other.name == callee);
        if at.is_none_or(|at| at <= service) {
            let message = format!("'{callee}' is not a service declared further down");
            findings.push(ScenarioFinding { line, message });
        }
        scenario.services[service].calls = at;
    }
    if scenario.services.is_empty() {
        findings.push(ScenarioFinding {
            line: 0,
            message: "no service".to_owned(),
        });
    }
    if findings.is_empty() {
        Ok(scenario)
    } else {
        Err(findings)
    }
}

fn read_line(scenario: &mut Scenario, reader: &mut LineReader<'_>, links: &mut Vec<(usize, usize, String)>) {
    let name = reader.word(1);
    let class_names: Vec<_> = scenario.classes.iter().map(|class| class.name.clone()).collect();
    let tenant_names: Vec<_> = scenario.tenants.iter().map(|tenant| tenant.0.clone()).collect();
    match reader.words[0] {
        "seed" => scenario.seed = u64::from(reader.count("seed", 1)),
        "duration" => scenario.duration = reader.time("duration", scenario.duration),
        "measure" => scenario.measure = reader.span(scenario.duration),
        "entries" => scenario.entries = reader.count("entries", 6) as usize,
        "network" => scenario.network = reader.time("network", scenario.network),
        "report-lag" => scenario.report_lag = reader.time("report-lag", scenario.report_lag),
        "arm" => match control_arm::ControlArm::from_name(&name) {
            Some(arm) => scenario.arm = arm,
            None => reader.finding(format!("no arm '{name}'")),
        },
        "class" => {
            let class = ClassSetting {
                name,
                importance: u8::try_from(reader.count("importance", 5)).unwrap_or(15).min(15),
                critical: reader.words.contains(&"critical"),
                deadline: reader.time("deadline", time::Duration::from_secs(1)),
                allowance: reader.count("allowance", 2),
                long: reader.value("lane") == Some("long"),
                work: reader.number("work", 1.0),
            };
            scenario.classes.push(class);
        }
        "tenant" => scenario.tenants.push((name, reader.count("weight", 1))),
        "service" => {
            if let Some(callee) = reader.value("calls") {
                links.push((reader.line, scenario.services.len(), callee.to_owned()));
            }
            let service = ServiceSetting {
                name,
                servers: reader.count("servers", 1) as usize,
                slots: reader.count("slots", 10),
                time: reader.time("time", time::Duration::from_millis(10)),
                calls: None,
            };
            scenario.services.push(service);
        }
        "load" => {
            let tenant = reader.value("tenant").unwrap_or("default").to_owned();
            let load = LoadSetting {
                class: reader.position("class", &name, &class_names),
                tenant: reader.position("tenant", &tenant, &tenant_names),
                rate: reader.number("rate", 0.0),
                span: reader.span(scenario.duration),
            };
            scenario.loads.push(load);
        }
        "fault" => {
            let (service, server) = (reader.word(2), reader.word(3));
            let factor = reader.number("factor", 10.0);
            let kind = match name.as_str() {
                "slow" => FaultKind::Slow(factor),
                "cold" => FaultKind::Cold(factor),
                "leave" => FaultKind::Leave,
                _ => return reader.finding(format!("no fault '{name}'")),
            };
            let names: Vec<_> = scenario.services.iter().map(|service| service.name.clone()).collect();
            let service = reader.position("service", &service, &names);
            let span = reader.span(scenario.duration);
            scenario.faults.push(FaultSetting {
                kind,
                service,
                server: server.parse().ok(),
                span,
            });
        }
        "expect" => {
            let at = reader.words.iter().position(|word| *word == ">=" || *word == "<=");
            let Some(at) = at else {
                return reader.finding("no '>=' or '<='".to_owned());
            };
            let bound = reader.word(at + 1);
            let bound = bound
                .parse()
                .ok()
                .or_else(|| parse_time(&bound).map(|time| time.as_secs_f64()));
            let Some(bound) = bound else {
                return reader.finding("the bound is not a number or a time".to_owned());
            };
            let tenant = reader.value("tenant").map(str::to_owned);
            let class = (at > 2 && reader.words[2] != "tenant").then(|| reader.word(2));
            let expectation = Expectation {
                figure: name,
                class: class.map(|class| reader.position("class", &class, &class_names)),
                tenant: tenant.map(|tenant| reader.position("tenant", &tenant, &tenant_names)),
                at_least: reader.words[at] == ">=",
                bound,
                line: reader.line,
            };
            scenario.expectations.push(expectation);
        }
        word => {
            let message = format!("no statement '{word}'");
            reader.finding(message);
        }
    }
}
