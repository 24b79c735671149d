//! Time for which a daemon prefers other servers to one whose request rate is reached.
//!
//! Load pattern: each daemon sends only a few requests per second to a server whose limit all daemons share. One that
//! tries the server for each of its calls wastes a message on most of them.

use std::time;

/// Offers per request that the server takes, over all daemons. With fewer, a daemon's hold would leave rate unused.
const OFFERS_PER_REQUEST: f64 = 2.0;
/// Shortest hold.
const MIN_HOLD: time::Duration = time::Duration::from_millis(100);
/// Longest hold. The server may lift its limit at any time.
const MAX_HOLD: time::Duration = time::Duration::from_secs(2);

/// Returns the hold of one daemon out of `daemons` for a server that takes `rate` requests per second from all of them.
#[must_use]
pub fn duration(rate: f64, daemons: usize) -> time::Duration {
    let seconds = daemons as f64 / (OFFERS_PER_REQUEST * rate);
    let bounds = (MIN_HOLD.as_secs_f64(), MAX_HOLD.as_secs_f64());
    // The quotient is infinite or NaN for a rate of 0.
    let seconds = if seconds.is_finite() { seconds } else { bounds.1 };
    time::Duration::from_secs_f64(seconds.clamp(bounds.0, bounds.1))
}
