//! Writes log lines on a dedicated thread, so that an output whose reader is blocked does not delay requests.

use std::io;
use std::io::Write;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;

/// Maximum number of lines that wait for the output, about 100 KB. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 256;

/// Appends log records to an output that may be slow or blocked.
#[derive(Debug)]
pub struct LogOutput {
    layout: logforth::layout::JsonLayout,
    lines: mpsc::SyncSender<Vec<u8>>,
    left_out: atomic::AtomicU64,
}

impl LogOutput {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in queue {
                // An error of the log output can't be logged.
                let _closed = output.write_all(&line).and_then(|()| output.flush());
            }
        })?;
        Ok(Self {
            layout: logforth::layout::JsonLayout::default(),
            lines,
            left_out: atomic::AtomicU64::new(0),
        })
    }

    fn push(&self, line: Vec<u8>) -> bool {
        self.lines.try_send(line).is_ok()
    }
}

impl logforth::Append for LogOutput {
    fn append(
        &self,
        record: &logforth::record::Record,
        diags: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = logforth::Layout::format(&self.layout, record, diags)?;
        line.push(b'\n');
        let left_out = self.left_out.load(atomic::Ordering::Relaxed);
        if left_out > 0
            && self.push(format!("{{\"message\":\"log lines left out\",\"count\":{left_out}}}\n").into_bytes())
        {
            self.left_out.fetch_sub(left_out, atomic::Ordering::Relaxed);
        }
        if !self.push(line) {
            self.left_out.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}
