//! The record of a case: what was sent, answered and run, with the time in ms.

use std::{
    fs::File,
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record { begin: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
