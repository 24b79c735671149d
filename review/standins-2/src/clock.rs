//! Times of a run.

use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the first call in this process.
pub fn run_ms() -> u128 {
    START.get_or_init(Instant::now).elapsed().as_millis()
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Polls `probe` until it returns true; false after `ms`.
pub fn wait_for(ms: u64, probe: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < end {
        if probe() {
            return true;
        }
        sleep_ms(20);
    }
    probe()
}
