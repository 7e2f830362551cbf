//! HTTP requests and responses, and limits of a server.

use std::time::Duration;

use bytes::Bytes;

/// Header of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, as sent.
    pub name: String,
    /// Value, without surrounding whitespace.
    pub value: String,
}

/// Returns the value of the first header with a name, ignoring case.
pub fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    header.map(|header| header.value.as_str())
}

/// HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Method in capitals, such as `GET`.
    pub method: String,
    /// Path and query, as in the request line.
    pub target: String,
    /// Headers, without those that the connection handles itself (such as `Content-Length`).
    pub headers: Vec<Header>,
    /// Body; empty if the message has none.
    pub body: Bytes,
}

impl Request {
    /// Creates a request without headers.
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

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a header, ignoring the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers, without those that the connection handles itself (such as `Content-Length`).
    pub headers: Vec<Header>,
    /// Body; empty if the message has none.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without headers.
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

/// Limits of a listener and its connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Open connections of the listener; for a further one the connection whose timeout is due first
    /// is closed.
    pub connections: usize,
    /// Size of the request line and headers, in bytes.
    pub head_bytes: usize,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Time in which a request must arrive completely, from its first byte, and in which the caller
    /// must begin to read the response; a caller that reads on is given longer.
    pub request_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits for callers that are other processes of this system.
    fn default() -> Self {
        Limits {
            connections: 1_024,
            head_bytes: 16 << 10,
            body_bytes: 8 << 20,
            request_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
