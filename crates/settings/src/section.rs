//! Reader of a mapping of a settings file.
//!
//! Each accessor removes its key from the mapping. It always returns a value, and records a finding
//! if the value in the file is not allowed, so that one pass over the file reports every fault.

use std::{collections, net, ops, time};

use marked_yaml::types::{MarkedMappingNode, Node};

use crate::finding;

/// Mapping of a settings file, with the keys that have not been read yet.
pub struct Section<'a> {
    path: String,
    line: usize,
    unread: collections::BTreeMap<String, &'a Node>,
    known: Vec<&'static str>,
    findings: Vec<finding::Finding>,
}

fn line_of(node: &Node) -> usize {
    node.span().start().map_or(1, |mark| mark.line())
}

impl<'a> Section<'a> {
    /// Creates the reader of a mapping. `path` is the key of the mapping with its parents,
    /// separated by dots; empty for the whole file.
    pub fn new(path: &str, mapping: &'a MarkedMappingNode) -> Self {
        let line = mapping.span().start().map_or(1, |mark| mark.line());
        let unread = mapping.iter().map(|(key, node)| (key.as_str().to_owned(), node)).collect();
        Section { path: path.to_owned(), line, unread, known: Vec::new(), findings: Vec::new() }
    }

    fn key(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Node> {
        self.known.push(name);
        self.unread.remove(name)
    }

    fn fault(&mut self, line: usize, name: &str, message: String) {
        let key = self.key(name);
        self.findings.push(finding::Finding { line, key, message });
    }

    fn scalar(&mut self, name: &'static str, allowed: &str) -> Option<(usize, &'a str)> {
        let node = self.take(name)?;
        let scalar = node.as_scalar().map(|scalar| scalar.as_str());
        if scalar.is_none() {
            self.fault(line_of(node), name, format!("must be {allowed}"));
        }
        scalar.map(|text| (line_of(node), text))
    }

    fn missing(&mut self, name: &'static str, allowed: &str) {
        let line = self.line;
        self.fault(line, name, format!("is missing; must be {allowed}"));
    }

    fn parsed<T>(
        &mut self,
        name: &'static str,
        default: Option<T>,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some((line, text)) = self.scalar(name, allowed) else {
            let was_reported = self.findings.last().is_some_and(|last| last.key == self.key(name));
            if default.is_none() && !was_reported {
                self.missing(name, allowed);
            }
            return default;
        };
        let value = parse(text);
        if value.is_none() {
            self.fault(line, name, format!("is `{text}`; must be {allowed}"));
        }
        value.or(default)
    }

    /// Reads a name of letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, name: &'static str) -> String {
        let allowed = "a name of 1 to 63 letters, digits, `-`, `_` or `.`";
        self.parsed(name, None, allowed, |text| is_name(text).then(|| text.to_owned()))
            .unwrap_or_default()
    }

    /// Reads the name of a region. It has no dots, since the identifier of a job begins with the
    /// region and a dot.
    pub fn region(&mut self, name: &'static str) -> String {
        let allowed = "a name of 1 to 63 letters, digits, `-` or `_`";
        let is_region = |text: &str| is_name(text) && !text.contains('.');
        self.parsed(name, None, allowed, |text| is_region(text).then(|| text.to_owned()))
            .unwrap_or_default()
    }

    /// Reads one of several words.
    pub fn word(&mut self, name: &'static str, default: &str, words: &[&str]) -> String {
        let allowed = format!("one of {}", words.join(", "));
        let parse = |text: &str| words.contains(&text).then(|| text.to_owned());
        self.parsed(name, Some(default.to_owned()), &allowed, parse).unwrap_or_default()
    }

    /// Reads a socket address, ip:port.
    pub fn address(&mut self, name: &'static str) -> String {
        self.parsed(name, None, "an address, ip:port", parse_address).unwrap_or_default()
    }

    /// Reads an optional socket address; empty if the key is missing.
    pub fn optional_address(&mut self, name: &'static str) -> String {
        self.parsed(name, Some(String::new()), "an address, ip:port", parse_address)
            .unwrap_or_default()
    }

    /// Reads a list of at least `min` socket addresses.
    pub fn addresses(&mut self, name: &'static str, min: usize) -> Vec<String> {
        let allowed = format!("a list of at least {min} addresses, ip:port");
        let Some(node) = self.take(name) else {
            if min > 0 {
                self.missing(name, &allowed);
            }
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.fault(line_of(node), name, format!("must be {allowed}"));
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for item in sequence.iter() {
            let text = item.as_scalar().map_or("", |scalar| scalar.as_str());
            match parse_address(text) {
                Some(address) => addresses.push(address),
                None => self.fault(
                    line_of(item),
                    name,
                    format!("contains `{text}`; each must be an address, ip:port"),
                ),
            }
        }
        if sequence.len() < min {
            self.fault(line_of(node), name, format!("must be {allowed}"));
        }
        addresses
    }

    /// Reads a switch, `on` or `off`.
    pub fn switch(&mut self, name: &'static str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "on" | "true" => Some(true),
            "off" | "false" => Some(false),
            _ => None,
        };
        self.parsed(name, Some(default), "on or off", parse).unwrap_or(default)
    }

    /// Reads a ratio with up to three decimals. Returns it in thousandths; `range` is in thousandths
    /// as well.
    pub fn ratio(&mut self, name: &'static str, range: ops::RangeInclusive<u32>) -> u32 {
        let (least, most) = (f64::from(*range.start()) / 1e3, f64::from(*range.end()) / 1e3);
        let allowed = format!("a number from {least} to {most}");
        let parse = |text: &str| {
            let milli = (text.parse::<f64>().ok()? * 1e3).round();
            let milli = (0.0..=f64::from(u32::MAX)).contains(&milli).then_some(milli as u32)?;
            range.contains(&milli).then_some(milli)
        };
        self.parsed(name, None, &allowed, parse).unwrap_or_default()
    }

    /// Reads a whole number within a range.
    pub fn count(
        &mut self,
        name: &'static str,
        default: Option<u32>,
        range: ops::RangeInclusive<u32>,
    ) -> u32 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let parse = |text: &str| text.parse().ok().filter(|number| range.contains(number));
        self.parsed(name, default, &allowed, parse).unwrap_or_default()
    }

    /// Reads a duration with a unit; returns it in milliseconds.
    pub fn duration(
        &mut self,
        name: &'static str,
        default: time::Duration,
        range: ops::RangeInclusive<time::Duration>,
    ) -> u64 {
        let text = |duration: &time::Duration| humantime::format_duration(*duration).to_string();
        let allowed = format!(
            "a duration with a unit, from {} to {}",
            text(range.start()),
            text(range.end())
        );
        let parse = |text: &str| parse_duration(text).filter(|time| range.contains(time));
        let duration = self.parsed(name, Some(default), &allowed, parse).unwrap_or(default);
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    }

    /// Reads a size with a unit; returns it in bytes.
    pub fn size(
        &mut self,
        name: &'static str,
        default: Option<u64>,
        range: ops::RangeInclusive<u64>,
    ) -> u64 {
        let allowed = format!(
            "a size with a unit (KiB, MiB, GiB), from {} to {}",
            format_size(*range.start()),
            format_size(*range.end())
        );
        let parse = |text: &str| parse_size(text).filter(|size| range.contains(size));
        self.parsed(name, default, &allowed, parse).unwrap_or_default()
    }

    /// Reads a nested mapping that is required.
    pub fn section<T: Default>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> T {
        if !self.unread.contains_key(name) {
            self.missing(name, "a mapping");
            return T::default();
        }
        self.optional_section(name, read).unwrap_or_default()
    }

    /// Reads a nested mapping that is optional.
    pub fn optional_section<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> Option<T> {
        let node = self.take(name)?;
        let Some(mapping) = node.as_mapping() else {
            self.fault(line_of(node), name, "must be a mapping".to_owned());
            return None;
        };
        let mut inner = Section::new(&self.key(name), mapping);
        let value = read(&mut inner);
        self.findings.extend(inner.finish());
        Some(value)
    }

    /// Records a finding for each key that no accessor has read, and returns all findings.
    pub fn finish(mut self) -> Vec<finding::Finding> {
        let known = self.known.join(", ");
        for (name, node) in std::mem::take(&mut self.unread) {
            let name = if name.is_empty() { "\"\"" } else { &name };
            self.fault(
                line_of(node),
                name,
                format!("is not a known setting; allowed here: {known}"),
            );
        }
        self.findings.sort_by_key(|finding| finding.line);
        self.findings
    }
}

/// Reads a settings file and returns all findings together.
///
/// # Errors
/// If the text is not YAML, is not a mapping or contains a setting that is not allowed.
pub fn read_file<T>(
    text: &str,
    read: impl FnOnce(&mut Section<'_>) -> T,
) -> Result<T, Vec<finding::Finding>> {
    let fault = |line, message| vec![finding::Finding { line, key: "file".to_owned(), message }];
    if let Some(line) = find_deep_line(text) {
        return Err(fault(line, format!("is nested deeper than {MAX_DEPTH} levels")));
    }
    let node = marked_yaml::parse_yaml(0, text).map_err(|error| {
        let line = match &error {
            marked_yaml::LoadError::TopLevelMustBeMapping(mark)
            | marked_yaml::LoadError::TopLevelMustBeSequence(mark)
            | marked_yaml::LoadError::UnexpectedAnchor(mark)
            | marked_yaml::LoadError::MappingKeyMustBeScalar(mark)
            | marked_yaml::LoadError::UnexpectedTag(mark)
            | marked_yaml::LoadError::ScanError(mark, _) => mark.line(),
            _ => 1,
        };
        fault(line, format!("is not valid YAML: {error}"))
    })?;
    let mapping =
        node.as_mapping().ok_or_else(|| fault(1, "must be a mapping of settings".to_owned()))?;
    let mut section = Section::new("", mapping);
    let value = read(&mut section);
    let findings = section.finish();
    if findings.is_empty() { Ok(value) } else { Err(findings) }
}

/// Largest depth of nesting of a file.
const MAX_DEPTH: usize = 128;

/// Returns the number of the first line that may be nested too deeply.
///
/// The YAML parser recurses for each level of nested blocks, and each level takes at least one
/// column of indentation or one indicator (`-`, `?` or `:`) of the line. The parser itself limits
/// nested brackets.
fn find_deep_line(text: &str) -> Option<usize> {
    let depth = |line: &str| {
        let indent = line.len() - line.trim_start().len();
        let is_indicator =
            |pair: &&[u8]| matches!(pair[0], b'-' | b'?' | b':') && pair[1].is_ascii_whitespace();
        indent + line.as_bytes().windows(2).filter(is_indicator).count()
    };
    text.split(['\n', '\r']).position(|line| depth(line) > MAX_DEPTH).map(|index| index + 1)
}

/// Whether the text is a valid name of a process, worker, zone or organisation.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 63 && text.chars().all(allowed)
}

/// Parses a duration such as `500ms`, `2m 30s` or `1.5s`.
fn parse_duration(text: &str) -> Option<time::Duration> {
    let seconds = || text.strip_suffix('s')?.parse().ok();
    humantime::parse_duration(text)
        .ok()
        .or_else(|| time::Duration::try_from_secs_f64(seconds()?).ok())
}

fn parse_address(text: &str) -> Option<String> {
    let address: net::SocketAddr = text.parse().ok()?;
    Some(address.to_string())
}

const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Parses a size such as `64 MiB`; returns it in bytes.
pub fn parse_size(text: &str) -> Option<u64> {
    let (unit, scale) = UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number: u64 = text.strip_suffix(unit)?.trim().parse().ok()?;
    number.checked_mul(*scale)
}

/// Formats a size with the largest unit of which it is a multiple.
pub fn format_size(bytes: u64) -> String {
    let fits = |(_, scale): &&(&str, u64)| bytes >= *scale && bytes.is_multiple_of(*scale);
    let (unit, scale) = UNITS.iter().find(fits).unwrap_or(&("B", 1));
    format!("{}{unit}", bytes / scale)
}
