//! Faults that the check of a settings file reports.

use std::fmt;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// Path of the key, its parts separated by dots.
    pub key: String,
    /// Description of the fault and of the allowed values.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.key, self.message)
    }
}

/// Formats findings as text, one per line, each prefixed with the name of the file.
pub fn report(file: &str, findings: &[Finding]) -> String {
    findings.iter().map(|finding| format!("{file}: {finding}\n")).collect()
}
