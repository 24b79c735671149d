//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::io;
use std::time;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`); Linux fixes them at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time of all threads since the process started, with a resolution of 10 ms.
    pub processor: time::Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Peak resident memory in bytes since the start or the last [`reset_peak`].
    pub peak: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Reads the usage of a process.
///
/// # Errors
/// Returns an error if the process has ended or a value is missing.
pub fn read(id: u32) -> io::Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    parse(&stat, &status).ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("/proc/{id}: malformed")))
}

/// Parses the contents of `/proc/PID/stat` and `/proc/PID/status`; `None` if a value is missing or malformed.
#[must_use]
pub fn parse(stat: &str, status: &str) -> Option<ProcessUsage> {
    // The program's name may contain spaces and parentheses, so fields are counted from the last closing one.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let value = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    Some(ProcessUsage {
        processor: time::Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident: value("VmRSS:")? * 1_024,
        peak: value("VmHWM:")? * 1_024,
        threads: value("Threads:")?,
    })
}

/// Resets the recorded peak of resident memory to the current value.
///
/// # Errors
/// Returns the error of the write to `/proc/PID/clear_refs`.
pub fn reset_peak(id: u32) -> io::Result<()> {
    fs::write(format!("/proc/{id}/clear_refs"), "5")
}

/// Returns the processor time of the running threads with one of these names; zero if the process has ended.
#[must_use]
pub fn thread_processor_time(id: u32, names: &[&str]) -> time::Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return time::Duration::ZERO;
    };
    let spent = threads.flatten().filter_map(|thread| {
        // A thread may end between the listing and the reading.
        let name = fs::read_to_string(thread.path().join("comm")).ok()?;
        let schedule = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        let nanoseconds: u64 = schedule.split_whitespace().next()?.parse().ok()?;
        names.contains(&name.trim()).then_some(nanoseconds)
    });
    time::Duration::from_nanos(spent.sum())
}
