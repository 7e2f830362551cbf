//! Log lines: time, part of the program and message.

use std::time::{Duration, SystemTime};

/// A line that one of the programs logged. Text before the time, such as the prefix of a log
/// collector, is ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line<'a> {
    /// Time since the Unix epoch.
    pub at: Duration,
    /// Part of the program that logged it: `plan`, `front`, `agent`, ...
    pub part: &'a str,
    /// Message.
    pub text: &'a str,
}

/// Separator between the level and the part of a line.
const SEPARATOR: &str = "] sapphire: ";

/// Parses a line. Returns `None` if it is truncated or was logged by another program.
pub fn parse(line: &str) -> Option<Line<'_>> {
    let (head, rest) = line.split_once(SEPARATOR)?;
    let (before, _level) = head.rsplit_once('[')?;
    let time = before.split_whitespace().next_back()?;
    let at = humantime::parse_rfc3339(time).ok()?;
    let at = at.duration_since(SystemTime::UNIX_EPOCH).ok()?;
    let (part, text) = rest.split_once(": ")?;
    let text = text.trim_end();
    (!text.is_empty()).then_some(Line { at, part, text })
}

/// Returns the value of the first `key=value` in a message. A value ends at the next space.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    text.split(' ').find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Returns the value of the first `key=value` in a message, parsed as a number.
pub fn number<T: std::str::FromStr>(text: &str, key: &str) -> Option<T> {
    field(text, key)?.parse().ok()
}
