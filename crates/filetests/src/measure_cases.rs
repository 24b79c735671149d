//! Measurements of the decisions under load, one function for each measurement.

use std::fmt::Write as _;
use std::time;

use crate::call_world;
use crate::control_arm;
use crate::scenario_file;
use crate::world_tally;

/// Names of the measurements.
pub const NAMES: [&str; 7] = [
    "overload",
    "priority",
    "recovery",
    "attempts",
    "head-of-line",
    "straggler",
    "crest",
];

/// Requests per second that the deepest service of [`chain`] can complete: 6 servers, 10 slots, 50 ms.
const CAPACITY: f64 = 1200.0;

/// One measured figure.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct MeasuredFigure {
    /// Name of the measurement.
    pub scenario: &'static str,
    /// Name of the control arm.
    pub arm: &'static str,
    /// What was varied, for example depth and load.
    pub case: String,
    /// Name of the figure.
    pub metric: &'static str,
    /// Value, rounded to four decimals; none if a time did not end within the run.
    pub value: Option<f64>,
    /// Unit of the value, such as `s` or `ratio`.
    pub unit: &'static str,
    /// Seed of the run.
    pub seed: u32,
    /// Target as a comparison such as `<= 2`, if the case has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Whether the value is within the target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reached: Option<bool>,
}

#[derive(Clone, Copy)]
enum FigureTarget {
    AtLeast(f64),
    AtMost(f64),
    None,
}

struct FigureSink<'a> {
    scenario: &'static str,
    seed: u32,
    emit: &'a mut dyn FnMut(MeasuredFigure),
}

impl FigureSink<'_> {
    fn record(
        &mut self,
        arm: control_arm::ControlArm,
        case: &str,
        metric: &'static str,
        unit: &'static str,
        value: Option<f64>,
        target: FigureTarget,
    ) {
        let (text, reached) = match target {
            FigureTarget::AtLeast(bound) => (
                Some(format!(">= {bound}")),
                Some(value.is_some_and(|value| value >= bound)),
            ),
            FigureTarget::AtMost(bound) => (
                Some(format!("<= {bound}")),
                Some(value.is_some_and(|value| value <= bound)),
            ),
            FigureTarget::None => (None, None),
        };
        (self.emit)(MeasuredFigure {
            scenario: self.scenario,
            arm: arm.name(),
            case: case.to_owned(),
            metric,
            value: value.map(|value| (value * 1e4).round() / 1e4),
            unit,
            seed: self.seed,
            target: text,
            reached,
        });
    }

    fn run(&self, arm: control_arm::ControlArm, text: &str) -> world_tally::WorldTally {
        let mut scenario = scenario_file::parse(text).expect("the built-in scenarios are valid");
        scenario.seed = u64::from(self.seed);
        scenario.arm = arm;
        call_world::run(&scenario)
    }
}

/// Runs a measurement for all arms; returns whether `name` is one of [`NAMES`].
///
/// # Panics
/// Panics if a built-in scenario can't be read.
pub fn measure(name: &str, seed: u32, emit: &mut dyn FnMut(MeasuredFigure)) -> bool {
    let Some(name) = NAMES.into_iter().find(|known| *known == name) else {
        return false;
    };
    let mut sink = FigureSink {
        scenario: name,
        seed,
        emit,
    };
    match name {
        "overload" => overload(&mut sink),
        "priority" => priority(&mut sink),
        "recovery" => recovery(&mut sink),
        "attempts" => attempts(&mut sink),
        "head-of-line" => head_of_line(&mut sink),
        "straggler" => straggler(&mut sink),
        _ => crest(&mut sink),
    }
    true
}

/// Returns classes and a chain of services whose deepest one is the bottleneck; the others have spare capacity.
fn chain(depth: usize) -> String {
    let mut text = "\
        class filing importance 15 critical deadline 1s allowance 2\n\
        class query importance 10 deadline 1s allowance 2\n\
        class browse importance 5 deadline 1s allowance 2\n"
        .to_owned();
    for service in 1..depth {
        let _ = writeln!(
            text,
            "service s{service} servers 6 slots 70 time 5ms calls s{}",
            service + 1
        );
    }
    let _ = writeln!(text, "service s{depth} servers 6 slots 10 time 50ms");
    text
}

/// Returns load of all classes: 10% filings, 40% queries, 50% browsing.
fn mixed_load(rate: f64, from: u32, to: u32) -> String {
    let mut text = String::new();
    for (class, part) in [("filing", 0.1), ("query", 0.4), ("browse", 0.5)] {
        let _ = writeln!(text, "load {class} rate {} from {from}ms to {to}ms", rate * part);
    }
    text
}

fn overload(sink: &mut FigureSink<'_>) {
    for depth in [1, 4, 12] {
        for load in [1.0, 2.0, 4.0] {
            let text = format!(
                "duration 10s\nmeasure from 3s to 10s\n{}{}",
                chain(depth),
                mixed_load(load * CAPACITY, 0, 10_000)
            );
            let case = format!("depth={depth} load={load}x");
            for arm in control_arm::ControlArm::ALL {
                let tally = sink.run(arm, &text);
                let goodput = tally.goodput(world_tally::RequestFilter::default(), tally.measure) / CAPACITY;
                let target = if load > 1.0 {
                    FigureTarget::AtLeast(0.95)
                } else {
                    FigureTarget::None
                };
                sink.record(arm, &case, "goodput_ratio", "ratio", Some(goodput), target);
            }
        }
    }
}

fn priority(sink: &mut FigureSink<'_>) {
    for depth in [1, 4, 12] {
        let text = format!(
            "duration 10s\nmeasure from 1s to 10s\n{}\
             load filing rate {}\nload query rate {}\nload browse rate {}\n",
            chain(depth),
            0.6 * CAPACITY,
            1.4 * CAPACITY,
            2.0 * CAPACITY,
        );
        for arm in control_arm::ControlArm::ALL {
            let tally = sink.run(arm, &text);
            let filter = world_tally::RequestFilter {
                class: Some(0),
                tenant: None,
            };
            let ratio = tally.completed_ratio(filter, tally.measure);
            let case = format!("depth={depth} load=4x critical=0.6x");
            sink.record(
                arm,
                &case,
                "critical_completed_ratio",
                "ratio",
                Some(ratio),
                FigureTarget::AtLeast(1.0),
            );
        }
    }
}

fn recovery(sink: &mut FigureSink<'_>) {
    let last = time::Duration::from_secs;
    for depth in [1, 4, 12] {
        let baseline = |seconds: u32| {
            let load = mixed_load(0.7 * CAPACITY, 0, seconds * 1000);
            format!("duration {seconds}s\n{}{load}", chain(depth))
        };
        let surge = mixed_load(3.3 * CAPACITY, 5_000, 10_000);
        let slow = format!("fault slow s{depth} all factor 5 from 5s to 35s\n");
        let cases = [
            (30, surge, "surge=4x for 5s", 10),
            (55, slow, "deep service 5x slower for 30s", 35),
        ];
        for (seconds, disturbance, name, end) in cases {
            for arm in control_arm::ControlArm::ALL {
                let baseline = baseline(seconds);
                let tally = sink.run(arm, &format!("{baseline}{disturbance}"));
                let time = tally.recovery(&sink.run(arm, &baseline), last(end), last(u64::from(seconds)));
                let value = time.map(|time| time.as_secs_f64());
                let case = format!("depth={depth} {name}");
                sink.record(arm, &case, "recovery_s", "s", value, FigureTarget::AtMost(2.0));
            }
        }
    }
}

fn attempts(sink: &mut FigureSink<'_>) {
    for depth in [1, 4, 12] {
        let text = format!(
            "duration 10s\nmeasure from 3s to 10s\n{}{}",
            chain(depth),
            mixed_load(4.0 * CAPACITY, 0, 10_000)
        );
        let case = format!("depth={depth} load=4x");
        for arm in control_arm::ControlArm::ALL {
            let tally = sink.run(arm, &text);
            let target = FigureTarget::AtMost(1.1);
            sink.record(
                arm,
                &case,
                "attempts_per_request",
                "attempts",
                Some(tally.mean_attempts()),
                target,
            );
            let most = f64::from(tally.most_attempts());
            sink.record(
                arm,
                &case,
                "most_attempts_per_request",
                "attempts",
                Some(most),
                FigureTarget::AtMost(3.0),
            );
        }
    }
}

fn head_of_line(sink: &mut FigureSink<'_>) {
    let short = "duration 20s\nmeasure from 5s to 20s\n\
        class query importance 10 deadline 2s\n\
        class ledger importance 5 deadline 30s lane long work 100\n\
        service ledgers servers 6 slots 10 time 20ms\n\
        load query rate 1200\n";
    let long = format!("{short}load ledger rate 15\n");
    for arm in control_arm::ControlArm::ALL {
        let filter = world_tally::RequestFilter {
            class: Some(0),
            tenant: None,
        };
        let [alone, mixed] = [short, &long].map(|text| sink.run(arm, text));
        let [before, after] = [&alone, &mixed].map(|tally| tally.latency(filter, tally.measure, 0.99));
        sink.record(arm, "short p99 alone", "p99_s", "s", Some(before), FigureTarget::None);
        sink.record(
            arm,
            "short p99 with long work",
            "p99_s",
            "s",
            Some(after),
            FigureTarget::None,
        );
        sink.record(
            arm,
            "short work with long work",
            "p99_ratio",
            "ratio",
            Some(after / before),
            FigureTarget::AtMost(1.2),
        );
        let completed = mixed.completed_ratio(filter, mixed.measure);
        sink.record(
            arm,
            "short work with long work",
            "completed_ratio",
            "ratio",
            Some(completed),
            FigureTarget::None,
        );
    }
}

fn straggler(sink: &mut FigureSink<'_>) {
    for load in [0.3, 0.6] {
        let even = format!(
            "duration 30s\nmeasure from 5s to 30s\nreport-lag 5s\n\
             class query importance 10 deadline 2s\n\
             service front servers 6 slots 70 time 5ms calls tags\n\
             service tags servers 6 slots 10 time 20ms\n\
             load query rate {}\n",
            load * 6.0 * 10.0 / 0.020,
        );
        let uneven = format!("{even}fault slow tags 0 factor 10 from 10s\n");
        for arm in control_arm::ControlArm::ALL {
            let [alone, mixed] = [&even, &uneven].map(|text| sink.run(arm, text));
            let span = (time::Duration::from_secs(10), time::Duration::from_secs(30));
            let [before, after] =
                [&alone, &mixed].map(|tally| tally.latency(world_tally::RequestFilter::default(), span, 0.99));
            let case = format!("one of six 10x slower, report 5s late, load={load}");
            sink.record(arm, &case, "p99_s", "s", Some(after), FigureTarget::None);
            sink.record(
                arm,
                &case,
                "p99_ratio",
                "ratio",
                Some(after / before),
                FigureTarget::AtMost(1.3),
            );
        }
    }
}

fn crest(sink: &mut FigureSink<'_>) {
    for depth in [1, 4, 12] {
        let mut text = format!("duration 20s\nmeasure from 4s to 20s\n{}", chain(depth));
        // Demand rises from 0.4x to 2x of capacity within 2 s, falls back within 2 s, and repeats.
        for step in 0..80 {
            let phase = f64::from(step % 16);
            let part = if phase < 8.0 { phase / 8.0 } else { (16.0 - phase) / 8.0 };
            text.push_str(&mixed_load((0.4 + 1.6 * part) * CAPACITY, step * 250, (step + 1) * 250));
        }
        let case = format!("depth={depth} demand 0.4x to 2x within 2s");
        for arm in control_arm::ControlArm::ALL {
            let tally = sink.run(arm, &text);
            let all = tally.completed_ratio(world_tally::RequestFilter::default(), tally.measure);
            let critical = tally.completed_ratio(
                world_tally::RequestFilter {
                    class: Some(0),
                    tenant: None,
                },
                tally.measure,
            );
            sink.record(
                arm,
                &case,
                "within_deadline_ratio",
                "ratio",
                Some(all),
                FigureTarget::None,
            );
            sink.record(
                arm,
                &case,
                "critical_within_deadline_ratio",
                "ratio",
                Some(critical),
                FigureTarget::None,
            );
        }
    }
}
