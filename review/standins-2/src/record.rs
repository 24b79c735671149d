//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

use crate::clock;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        clock::run_ms();
        Ok(Self(Arc::new(Mutex::new(File::create(path)?))))
    }

    /// Adds a line with the time of the run in milliseconds.
    pub fn line(&self, text: &str) {
        if let Ok(mut file) = self.0.lock() {
            let _ = writeln!(file, "{:>7} {text}", clock::run_ms());
        }
    }
}
