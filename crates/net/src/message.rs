//! Requests and responses.

use std::time::Duration;

use bytes::Bytes;

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, as sent.
    pub name: String,
    /// Value, without surrounding blanks.
    pub value: String,
}

/// Value of the first header of a name, whatever its case.
pub fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    header.map(|header| header.value.as_str())
}

/// A request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Method, in capitals.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers without those about length and connection.
    pub headers: Vec<Header>,
    /// Body; empty for none.
    pub body: Bytes,
}

impl Request {
    /// A request without headers.
    pub fn new(method: &str, target: &str, body: impl Into<Bytes>) -> Self {
        Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.to_owned() });
        self
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Headers without those about length and connection.
    pub headers: Vec<Header>,
    /// Body; empty for none.
    pub body: Bytes,
}

impl Response {
    /// A response without headers.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Response { status, headers: Vec::new(), body: body.into() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.to_owned() });
        self
    }
}

/// Bounds of what a server takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at one listener.
    pub connections: usize,
    /// Request line and headers, in bytes.
    pub head_bytes: usize,
    /// Body, in bytes.
    pub body_bytes: usize,
    /// Time for one whole request from its first byte, and for an answer of which nothing is read.
    pub request_time: Duration,
    /// Time that a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Bounds for callers that are other processes of the system.
    fn default() -> Self {
        Limits {
            connections: 1_024,
            head_bytes: 16 << 10,
            body_bytes: 8 << 20,
            request_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(30),
        }
    }
}
