//! Parser of the operators' rule file: plain text with one rule per line, each followed by a
//! comment that names the person who requested the rule.

pub mod diff;
pub mod file;
pub mod finding;
mod line;
pub mod rule;
