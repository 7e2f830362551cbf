//! HTTP/1.1 messages out of bytes, and back.

use std::io::Write as _;

use bytes::Bytes;

use crate::message::{Header, Request, Response, find};

/// Most headers of one message.
const MAX_HEADERS: usize = 64;

/// What a buffer holds.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed<T> {
    /// The message goes on; it has at least so many bytes in all.
    Partial(usize),
    /// A whole message.
    Whole {
        /// The message.
        message: T,
        /// Its length in bytes.
        used: usize,
        /// The connection may carry another one.
        keeps: bool,
    },
    /// No message; the status says why.
    Bad(u16),
}

/// Bounds of a message.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) head: usize,
    pub(crate) body: usize,
}

/// Where a body ends.
enum Body {
    Length(usize),
    Chunked,
    /// With the connection; only a response may say so.
    Open,
}

/// How far a body in chunks has been read, so that none is read again when more of it comes.
#[derive(Default)]
pub(crate) struct Chunks {
    /// Bytes read, from the end of the head.
    at: usize,
    body: Vec<u8>,
}

/// Reads a request from the start of a buffer. `chunks` is new for each request.
pub(crate) fn request(buffer: &[u8], bounds: Bounds, chunks: &mut Chunks) -> Parsed<Request> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut slots);
    let used = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) if used <= bounds.head => used,
        Ok(httparse::Status::Partial) if buffer.len() <= bounds.head => return Parsed::Partial(0),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431),
        Err(_) => return Parsed::Bad(400),
    };
    let method = head.method.unwrap_or_default().to_owned();
    let target = head.path.unwrap_or_default().to_owned();
    let version = head.version.unwrap_or(1);
    let Some(headers) = copy(head.headers) else { return Parsed::Bad(400) };
    let body = match body_end(&headers) {
        Some(Body::Open) => Body::Length(0),
        Some(body) => body,
        None => return Parsed::Bad(400),
    };
    let keeps = keeps_alive(&headers, version);
    finish(&buffer[used..], used, body, bounds, keeps, chunks, |body| Request {
        method,
        target,
        headers: without_framing(headers),
        body,
    })
}

/// Reads a response from the start of a buffer; `has_ended` when the peer has closed. `chunks` is
/// new for each response.
pub(crate) fn response(
    buffer: &[u8],
    bounds: Bounds,
    has_ended: bool,
    chunks: &mut Chunks,
) -> Parsed<Response> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut slots);
    let used = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) if used <= bounds.head => used,
        Ok(httparse::Status::Partial) if buffer.len() <= bounds.head => return Parsed::Partial(0),
        _ => return Parsed::Bad(502),
    };
    let status = head.code.unwrap_or_default();
    let version = head.version.unwrap_or(1);
    let Some(headers) = copy(head.headers) else { return Parsed::Bad(502) };
    let is_empty = status == 204 || status == 304 || status < 200;
    let body = match body_end(&headers) {
        _ if is_empty => Body::Length(0),
        Some(Body::Open) if has_ended => Body::Length(buffer.len() - used),
        Some(Body::Open) => return Parsed::Partial(0),
        Some(body) => body,
        None => return Parsed::Bad(502),
    };
    let keeps = keeps_alive(&headers, version) && !has_ended;
    finish(&buffer[used..], used, body, bounds, keeps, chunks, |body| Response {
        status,
        headers: without_framing(headers),
        body,
    })
}

fn finish<T>(
    rest: &[u8],
    head: usize,
    body: Body,
    bounds: Bounds,
    keeps: bool,
    chunks: &mut Chunks,
    build: impl FnOnce(Bytes) -> T,
) -> Parsed<T> {
    match body {
        Body::Length(length) if length > bounds.body => Parsed::Bad(413),
        Body::Length(length) if rest.len() < length => Parsed::Partial(head + length),
        Body::Length(length) => {
            let body = Bytes::copy_from_slice(&rest[..length]);
            Parsed::Whole { message: build(body), used: head + length, keeps }
        }
        Body::Chunked => match chunks.read(rest, bounds) {
            Parsed::Whole { message, used, .. } => {
                Parsed::Whole { message: build(message), used: head + used, keeps }
            }
            Parsed::Partial(_) => Parsed::Partial(0),
            Parsed::Bad(status) => Parsed::Bad(status),
        },
        Body::Open => Parsed::Partial(0),
    }
}

impl Chunks {
    /// Reads on in a body.
    fn read(&mut self, buffer: &[u8], bounds: Bounds) -> Parsed<Bytes> {
        loop {
            let rest = &buffer[self.at..];
            let (used, size) = match httparse::parse_chunk_size(rest) {
                Ok(httparse::Status::Complete((used, size))) => (used, size),
                Ok(httparse::Status::Partial) if rest.len() <= bounds.head => {
                    return Parsed::Partial(0);
                }
                _ => return Parsed::Bad(400),
            };
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            if size > bounds.body.saturating_sub(self.body.len()) {
                return Parsed::Bad(413);
            }
            if size == 0 {
                return self.trailer(&rest[used..], self.at + used, bounds);
            }
            let Some(chunk) = rest.get(used..used + size + 2) else { return Parsed::Partial(0) };
            if &chunk[size..] != b"\r\n" {
                return Parsed::Bad(400);
            }
            self.body.extend_from_slice(&chunk[..size]);
            self.at += used + size + 2;
        }
    }

    /// Skips what follows the last chunk.
    fn trailer(&mut self, rest: &[u8], at: usize, bounds: Bounds) -> Parsed<Bytes> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::parse_headers(rest, &mut slots) {
            Ok(httparse::Status::Complete((used, _))) => {
                let body = Bytes::from(std::mem::take(&mut self.body));
                Parsed::Whole { message: body, used: at + used, keeps: true }
            }
            Ok(httparse::Status::Partial) if rest.len() <= bounds.head => Parsed::Partial(0),
            _ => Parsed::Bad(400),
        }
    }
}

fn copy(headers: &[httparse::Header<'_>]) -> Option<Vec<Header>> {
    let copy = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).ok()?.trim().to_owned();
        Some(Header { name: header.name.to_owned(), value })
    };
    headers.iter().map(copy).collect()
}

/// None when the end is told in two ways: what stands between may have taken the other.
fn body_end(headers: &[Header]) -> Option<Body> {
    let all = |name: &'static str| {
        let named = headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_str())
    };
    let mut lengths = all("Content-Length");
    let mut encodings = all("Transfer-Encoding");
    match (lengths.next(), encodings.next()) {
        (None, None) => Some(Body::Open),
        (Some(first), None) if lengths.all(|other| other == first) => length(first),
        (None, Some(encoding)) if encodings.next().is_none() => {
            encoding.eq_ignore_ascii_case("chunked").then_some(Body::Chunked)
        }
        _ => None,
    }
}

/// Reads digits and nothing else.
fn length(text: &str) -> Option<Body> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number).map(Body::Length)
}

fn keeps_alive(headers: &[Header], version: u8) -> bool {
    match find(headers, "Connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => false,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => true,
        _ => version >= 1,
    }
}

fn without_framing(mut headers: Vec<Header>) -> Vec<Header> {
    const FRAMING: [&str; 4] = ["Content-Length", "Transfer-Encoding", "Connection", "Date"];
    headers.retain(|header| !FRAMING.iter().any(|name| header.name.eq_ignore_ascii_case(name)));
    headers
}

/// Writes a request for a host.
pub(crate) fn write_request(request: &Request, host: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 + request.body.len());
    let Request { method, target, .. } = request;
    push(&mut bytes, format_args!("{method} {target} HTTP/1.1\r\n"));
    if find(&request.headers, "Host").is_none() {
        push(&mut bytes, format_args!("Host: {host}\r\n"));
    }
    let has_body = !request.body.is_empty() || method == "POST" || method == "PUT";
    end(&mut bytes, &request.headers, has_body.then_some(&request.body));
    bytes
}

/// Writes a response.
pub(crate) fn write_response(response: &Response, keeps: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128 + response.body.len());
    let (status, reason) = (response.status, reason(response.status));
    push(&mut bytes, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    if !keeps {
        push(&mut bytes, format_args!("Connection: close\r\n"));
    }
    end(&mut bytes, &response.headers, Some(&response.body));
    bytes
}

fn end(bytes: &mut Vec<u8>, headers: &[Header], body: Option<&Bytes>) {
    for header in headers {
        push(bytes, format_args!("{}: {}\r\n", header.name, header.value));
    }
    if let Some(body) = body {
        push(bytes, format_args!("Content-Length: {}\r\n", body.len()));
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body.map_or(&[][..], |body| body));
}

fn push(bytes: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    bytes.write_fmt(text).expect("a vector takes all that is written");
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
