//! What a case records: each line with the seconds since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
#[derive(Debug)]
pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    /// Begins a record in a file.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Seconds since the start.
    pub fn at(&self, when: Instant) -> f64 {
        when.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.at(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Adds a line, and prints it, too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

/// The end of an id, if it is long.
pub fn short(id: &str) -> &str {
    const LONGEST: usize = 24;
    id.get(id.len().saturating_sub(LONGEST)..).unwrap_or(id)
}
