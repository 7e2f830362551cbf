//! A small JSON reader and writer.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        let Json::Object(fields) = self else { return &Json::Null };
        fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

pub fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(value) => quote(f, value),
            Json::List(values) => {
                write!(f, "[")?;
                for (index, value) in values.iter().enumerate() {
                    write!(f, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Object(fields) => {
                write!(f, "{{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    write!(f, "{}", if index > 0 { "," } else { "" })?;
                    quote(f, key)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for c in text.chars() {
        match c {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    write!(f, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        if found {
            self.at += word.len();
        }
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.text()?)),
            b't' => self.take("true").then_some(Json::Bool(true)),
            b'f' => self.take("false").then_some(Json::Bool(false)),
            b'n' => self.take("null").then_some(Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut values = Vec::new();
        loop {
            self.space();
            if self.take("]") {
                return Some(Json::List(values));
            }
            if !values.is_empty() && !self.take(",") {
                return None;
            }
            values.push(self.value()?);
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.space();
            if self.take("}") {
                return Some(Json::Object(fields));
            }
            if !fields.is_empty() && !self.take(",") {
                return None;
            }
            self.space();
            let key = self.text()?;
            self.space();
            if !self.take(":") {
                return None;
            }
            fields.push((key, self.value()?));
        }
    }

    fn text(&mut self) -> Option<String> {
        if !self.take("\"") {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('\u{fffd}');
                            text.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
