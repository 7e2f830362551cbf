//! Reader of one line of a rule file, which is split into words with their columns.

use std::{collections::BTreeMap, time::Duration};

use sapphire_settings::section;

use crate::finding;

/// Word of a line.
struct Word<'a> {
    /// Column in bytes, counted from 1.
    column: usize,
    text: &'a str,
}

/// Reader of one line, which collects the findings.
pub(crate) struct Line<'a> {
    number: usize,
    end: usize,
    words: Vec<Word<'a>>,
    values: BTreeMap<&'a str, Word<'a>>,
    known: Vec<&'static str>,
    pub(crate) findings: Vec<finding::Finding>,
}

impl<'a> Line<'a> {
    /// Splits a line without its comment into bare words and `key=value` pairs.
    pub(crate) fn new(number: usize, text: &'a str) -> Self {
        let end = text.trim_end().len() + 1;
        let mut line = Line {
            number,
            end,
            words: Vec::new(),
            values: BTreeMap::new(),
            known: Vec::new(),
            findings: Vec::new(),
        };
        let base = text.as_ptr() as usize;
        for token in text.split_whitespace() {
            let column = token.as_ptr() as usize - base + 1;
            line.add_token(column, token);
        }
        line.words.reverse();
        line
    }

    fn add_token(&mut self, column: usize, token: &'a str) {
        let Some((key, value)) = token.split_once('=') else {
            self.words.push(Word { column, text: token });
            return;
        };
        let word = Word { column: column + key.len() + 1, text: value };
        if self.values.insert(key, word).is_some() {
            self.fault(column, format!("`{key}` is given twice"));
        }
    }

    pub(crate) fn fault(&mut self, column: usize, message: String) {
        self.findings.push(finding::Finding { line: self.number, column, message });
    }

    /// Returns the next bare word with its column, or records that `what` is missing.
    pub(crate) fn word(&mut self, what: &str) -> Option<(usize, &'a str)> {
        let word = self.words.pop();
        if word.is_none() {
            self.fault(self.end, format!("{what} is missing"));
        }
        word.map(|word| (word.column, word.text))
    }

    /// Reads the next bare word as a name.
    pub(crate) fn name(&mut self, what: &str) -> String {
        let Some((column, text)) = self.word(what) else { return String::new() };
        self.checked_name(column, text)
    }

    fn checked_name(&mut self, column: usize, text: &str) -> String {
        if !section::is_name(text) {
            let allowed = "1 to 63 letters, digits, `-`, `_` or `.`";
            self.fault(column, format!("`{text}` is not a name of {allowed}"));
        }
        text.to_owned()
    }

    /// Reads the value of an optional key as a name.
    pub(crate) fn named(&mut self, key: &'static str) -> Option<String> {
        self.known.push(key);
        let word = self.values.remove(key)?;
        Some(self.checked_name(word.column, word.text))
    }

    fn value<T>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.push(key);
        let Some(word) = self.values.remove(key) else {
            if default.is_none() {
                self.fault(self.end, format!("`{key}=` is missing; give {allowed}"));
            }
            return default;
        };
        let value = parse(word.text);
        if value.is_none() {
            self.fault(word.column, format!("`{key}={}` must be {allowed}", word.text));
        }
        value.or(default)
    }

    /// Reads the value of a key as a whole number from `min` to `max`.
    pub(crate) fn count(
        &mut self,
        key: &'static str,
        default: Option<u32>,
        min: u32,
        max: u32,
    ) -> u32 {
        let allowed = format!("a whole number from {min} to {max}");
        let parse = |text: &str| text.parse().ok().filter(|n| (min..=max).contains(n));
        self.value(key, default, &allowed, parse).unwrap_or(min)
    }

    /// Reads the value of a key as a duration with a unit, up to `max`.
    pub(crate) fn duration(&mut self, key: &'static str, max: Duration) -> Duration {
        let allowed = format!("a duration with its unit up to {}", humantime::format_duration(max));
        let parse = |text: &str| humantime::parse_duration(text).ok().filter(|d| *d <= max);
        self.value(key, None, &allowed, parse).unwrap_or_default()
    }

    /// Reads the value of a key as one of several words, each of which stands for a value.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        choices: &[(&str, T)],
        fallback: T,
    ) -> T {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let allowed = format!("one of {}", words.join(", "));
        let parse = |text: &str| choices.iter().find(|(word, _)| *word == text).map(|(_, v)| *v);
        self.value(key, default, &allowed, parse).unwrap_or(fallback)
    }

    /// Records a finding for each word and key that has not been read, and returns all findings.
    pub(crate) fn finish(mut self) -> Vec<finding::Finding> {
        for word in std::mem::take(&mut self.words) {
            self.fault(word.column, format!("`{}` is not expected here", word.text));
        }
        let known = self.known.join(", ");
        for (key, word) in std::mem::take(&mut self.values) {
            let column = word.column - key.len() - 1;
            self.fault(column, format!("`{key}` is not a key of this rule; known: {known}"));
        }
        self.findings
    }

    /// Returns the column after the last word.
    pub(crate) fn end(&self) -> usize {
        self.end
    }
}
