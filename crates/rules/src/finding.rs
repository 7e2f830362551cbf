//! Faults that the check of a rule file reports.

use std::fmt;

/// One fault of a rule file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// Column of the line in bytes, counted from 1.
    pub column: usize,
    /// Description of the fault and of the allowed values.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Formats findings as text, one per line.
pub fn report(findings: &[Finding]) -> String {
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}
