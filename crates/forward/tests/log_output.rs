//! Logging to a blocked output, and the rate limit of log lines.

use std::io;
use std::sync::mpsc;
use std::time;

use damasktrack_forward::log_limiter::{LogCategory, LogDecision, LogLimiter};
use damasktrack_forward::log_output::LogOutput;
use log::Log;

/// Output that blocks until `release` is closed, and then passes lines on.
struct BlockedOutput {
    release: mpsc::Receiver<()>,
    lines: mpsc::Sender<Vec<u8>>,
}

impl io::Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A closed channel means that the output is released.
        let _ended = self.release.recv();
        let _closed = self.lines.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that block while the log output is not read, and against unbounded buffering of lines.
#[test]
fn blocked_output_does_not_delay_logging() {
    let (release, blocked) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let output = LogOutput::start(BlockedOutput {
        release: blocked,
        lines,
    })
    .unwrap();
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
        .expect("logging blocked on the output");
    drop(release);
    // The queue drains from here on, and a line with the number of dropped lines precedes the next one.
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

/// Guards against a log volume that grows with the load, and against lines about successes that use up the limit of
/// failures.
#[test]
fn lines_per_second_are_bounded_by_category() {
    let (limiter, now) = (LogLimiter::default(), time::Instant::now());
    let mut reported = 0;
    let mut count = |category| {
        let decisions = (0..1_000).map(|_number| limiter.decide(category, now));
        let written = decisions.filter_map(|decision| match decision {
            LogDecision::Write { left_out } => Some(left_out),
            LogDecision::Skip => None,
        });
        let left_out: Vec<u64> = written.collect();
        reported += left_out.iter().sum::<u64>();
        left_out.len()
    };
    let successes = count(LogCategory::Success);
    let failures = count(LogCategory::Failure);
    assert!(successes <= 5, "{successes}");
    assert!((10..=50).contains(&failures), "{failures}");
    let later = now + time::Duration::from_secs(1);
    let LogDecision::Write { left_out } = limiter.decide(LogCategory::Failure, later) else {
        panic!("the limit must be reset in a new second");
    };
    reported += left_out;
    assert_eq!(reported, 2_000 - u64::try_from(successes + failures).unwrap());
}
