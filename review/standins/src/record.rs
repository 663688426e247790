//! The record of a case: what was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

/// Writes lines with the time since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        // The record is not part of the check.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
