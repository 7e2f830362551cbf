//! The settings file, looked at again on a signal and from time to time.

use std::{fs, path::PathBuf, time::Duration};

use sapphire_settings::finding;

/// How often the file is looked at without a signal.
const INTERVAL: Duration = Duration::from_secs(2);

/// The file as it was last read.
pub struct File {
    path: PathBuf,
    text: String,
    next: Duration,
}

/// What a look at the file has found.
pub enum Outcome<T> {
    /// Nothing new.
    Same,
    /// New settings.
    Changed(Box<T>),
    /// New settings with faults; the old ones stay in force.
    Refused(String),
}

impl File {
    /// A file that has just been read.
    pub fn new(path: PathBuf, now: Duration) -> Self {
        let text = fs::read_to_string(&path).unwrap_or_default();
        File { path, text, next: now + INTERVAL }
    }

    /// Whether it is time to look again without a signal.
    pub fn is_due(&mut self, now: Duration) -> bool {
        let is_due = now >= self.next;
        if is_due {
            self.next = now + INTERVAL;
        }
        is_due
    }

    /// Looks at the file.
    pub fn reload<T>(&mut self, parse: fn(&str) -> Result<T, Vec<finding::Finding>>) -> Outcome<T> {
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => return Outcome::Refused(error.to_string()),
        };
        if text == self.text {
            return Outcome::Same;
        }
        self.text = text;
        match parse(&self.text) {
            Ok(settings) => Outcome::Changed(Box::new(settings)),
            Err(findings) => {
                let name = self.path.display().to_string();
                Outcome::Refused(finding::report(&name, &findings).trim_end().replace('\n', "; "))
            }
        }
    }
}
