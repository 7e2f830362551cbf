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

    /// Memory in bytes that the request takes, about.
    pub(crate) fn memory(&self) -> usize {
        let headers = self.headers.iter().map(|header| header.name.len() + header.value.len());
        self.method.len() + self.target.len() + headers.sum::<usize>() + self.body.len()
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
    /// Open connections of the listener. For a further one, the connection whose timeout is due
    /// first is closed; if all requests are being served, the further one is refused.
    pub connections: usize,
    /// Size of the request line and headers, in bytes.
    pub head_bytes: usize,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Memory in bytes that all connections of the listener may take together for requests that
    /// arrive or are being served and for responses, beyond [`CONNECTION_BYTES`] for each. The
    /// largest gives way.
    pub memory_bytes: usize,
    /// Bytes that the system may keep for a connection that are received and not read yet.
    pub receive_bytes: usize,
    /// Time in which a request must arrive completely, from its first byte, and in which the caller
    /// must begin to read the response; a caller that reads on is given longer.
    pub request_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Makes the response to a request that is refused with a status code and was not passed on.
    pub refusal: fn(u16) -> Response,
}

/// Memory in bytes that each connection may take whatever the others take, so that small requests are
/// served while large ones have to give way.
pub const CONNECTION_BYTES: usize = 16 << 10;

impl Default for Limits {
    /// Limits for callers that are other processes of this system.
    fn default() -> Self {
        Limits {
            connections: 1_024,
            head_bytes: 16 << 10,
            body_bytes: 8 << 20,
            memory_bytes: 64 << 20,
            receive_bytes: 64 << 10,
            request_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
            refusal,
        }
    }
}

/// Response without a body to a request that is refused. Asks the caller to come back if the process
/// was short of resources.
pub fn refusal(status: u16) -> Response {
    let response = Response::new(status, "");
    if status == 503 { response.with("Retry-After", "1") } else { response }
}
