//! Structured logs on standard error, one JSON object per line.

use std::str::FromStr;

/// Sets up logging for the process; an unknown level counts as `info`. A second call has no effect, since a process has
/// a single logger.
pub fn start(level: &str) {
    let level = log::LevelFilter::from_str(level).unwrap_or(log::LevelFilter::Info);
    let logger = logforth::core::builder()
        .dispatch(|dispatch| {
            dispatch.append(logforth::append::Stderr::default().with_layout(logforth::layout::JsonLayout::default()))
        })
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}
