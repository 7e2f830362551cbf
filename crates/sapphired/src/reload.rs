//! Reloading of the settings file, on SIGHUP and periodically.

use std::{fs, path::PathBuf, time::Duration};

use sapphire_settings::finding;

/// Interval at which the file is checked for changes without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file, with its text at the last reading.
pub struct File {
    path: PathBuf,
    text: String,
    /// Time of the next check without a signal.
    next_check: Duration,
}

/// Outcome of [`File::reload`].
pub enum Outcome<T> {
    /// The file has not changed.
    Unchanged,
    /// The file has changed; its new settings.
    Changed(Box<T>),
    /// The file can't be read or its new text has findings; the reason. The previous settings stay
    /// in force.
    Rejected(String),
}

impl File {
    /// Reads the text against which later changes are detected.
    pub fn new(path: PathBuf, now: Duration) -> Self {
        let text = fs::read_to_string(&path).unwrap_or_default();
        File { path, text, next_check: now + CHECK_INTERVAL }
    }

    /// Whether the next check is due; if so, schedules the one after it.
    pub fn is_due(&mut self, now: Duration) -> bool {
        let is_due = now >= self.next_check;
        if is_due {
            self.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Reads the file and parses it if it has changed since the last reading.
    pub fn reload<T>(&mut self, parse: fn(&str) -> Result<T, Vec<finding::Finding>>) -> Outcome<T> {
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => return Outcome::Rejected(error.to_string()),
        };
        if text == self.text {
            return Outcome::Unchanged;
        }
        self.text = text;
        match parse(&self.text) {
            Ok(settings) => Outcome::Changed(Box::new(settings)),
            Err(findings) => {
                let name = self.path.display().to_string();
                Outcome::Rejected(finding::report(&name, &findings).trim_end().replace('\n', "; "))
            }
        }
    }
}
