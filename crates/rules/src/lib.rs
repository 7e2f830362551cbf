//! The operators' rule file: plain text, one rule a line, each line ending in a comment that
//! names who asked for it.

pub mod diff;
pub mod file;
pub mod finding;
mod line;
pub mod rule;
