//! What is wrong with a settings file, and where.

use std::fmt;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line in the file, from 1.
    pub line: usize,
    /// Dotted path of the key.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.key, self.message)
    }
}

/// Findings as one text, a line each, prefixed with the file's name.
pub fn report(file: &str, findings: &[Finding]) -> String {
    findings.iter().map(|finding| format!("{file}: {finding}\n")).collect()
}
