//! What is wrong with a rule file, and where.

use std::fmt;

/// One fault of a rule file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line in the file, from 1.
    pub line: usize,
    /// Column in the line, from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Findings as one text, a line each.
pub fn report(findings: &[Finding]) -> String {
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}
