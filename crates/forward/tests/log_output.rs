//! Logs whose output is not read.

use std::io;
use std::sync::mpsc;
use std::time;

use damasktrack_forward::decision_log::{DecisionLog, LogDecision, LogSubject};
use damasktrack_forward::log_output::LogOutput;
use log::Log;

/// Output that is stuck until the test ends, and then passes lines on.
struct StuckOutput {
    release: mpsc::Receiver<()>,
    lines: mpsc::Sender<Vec<u8>>,
}

impl io::Write for StuckOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // An ended test releases the output as well.
        let _ended = self.release.recv();
        let _closed = self.lines.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a request that waits for a reader of the log, and against lines that pile up in memory.
#[test]
fn stuck_output_delays_nobody() {
    let (release, stuck) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let output = LogOutput::start(StuckOutput { release: stuck, lines }).unwrap();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .build();
    let bridge = logforth::bridge::log::LogBridge::new(logger);
    let (done, finished) = mpsc::channel();
    std::thread::spawn(move || {
        for _number in 0..10_000 {
            let arguments = format_args!("line");
            bridge.log(&log::Record::builder().level(log::Level::Info).args(arguments).build());
        }
        done.send(bridge).unwrap();
    });
    let bridge = finished
        .recv_timeout(time::Duration::from_mins(1))
        .expect("a writer waits for the output");
    drop(release);
    // The queue drains now; the next lines say how many were left out.
    let mut text = String::new();
    for _number in 0..20 {
        bridge.log(
            &log::Record::builder()
                .level(log::Level::Info)
                .args(format_args!("late"))
                .build(),
        );
        std::thread::sleep(time::Duration::from_millis(10));
        text.extend(written.try_iter().map(|line| String::from_utf8(line).unwrap()));
    }
    assert!(text.contains("log lines left out"), "{text}");
    assert!(text.lines().count() < 400, "{}", text.lines().count());
}

/// Guards against a volume of lines that grows with the load, and against failures that successes crowd out.
#[test]
fn lines_a_second_are_bounded_by_subject() {
    let (log, now) = (DecisionLog::default(), time::Instant::now());
    let mut reported = 0;
    let mut count = |subject| {
        let decisions = (0..1_000).map(|_number| log.decide(subject, now));
        let written = decisions.filter_map(|decision| match decision {
            LogDecision::Write { left_out } => Some(left_out),
            LogDecision::Skip => None,
        });
        let left_out: Vec<u64> = written.collect();
        reported += left_out.iter().sum::<u64>();
        left_out.len()
    };
    let successes = count(LogSubject::Success);
    let failures = count(LogSubject::Failure);
    assert!(successes <= 5, "{successes}");
    assert!((10..=50).contains(&failures), "{failures}");
    let later = now + time::Duration::from_secs(1);
    let LogDecision::Write { left_out } = log.decide(LogSubject::Failure, later) else {
        panic!("a new second has room");
    };
    reported += left_out;
    assert_eq!(reported, 2_000 - u64::try_from(successes + failures).unwrap());
}
