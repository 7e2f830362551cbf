//! Parser and writer of HTTP/1.1 messages.

use std::io::Write as _;

use bytes::Bytes;

use crate::message::{Header, Request, Response, find};

/// Largest number of headers of one message.
const MAX_HEADERS: usize = 64;

/// Result of parsing the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed<T> {
    /// The message is incomplete; its total length is at least this number of bytes.
    Partial(usize),
    /// The message is complete.
    Complete {
        /// The message.
        message: T,
        /// Its length in the buffer, in bytes.
        used: usize,
        /// Whether the connection can be used for another message.
        keep_alive: bool,
    },
    /// The bytes are not an acceptable message; the status code that fits the fault.
    Bad(u16),
}

/// Size limits of a message in bytes; `head` is the start line with the headers.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) head: usize,
    pub(crate) body: usize,
}

/// How the end of a body is determined.
enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk of the chunked transfer encoding.
    Chunked,
    /// By the end of the connection; only for a response.
    UntilClose,
}

/// Progress in a body with chunked encoding, so that no chunk is parsed again when further bytes
/// arrive.
#[derive(Default)]
pub(crate) struct ChunkedBody {
    /// Number of bytes parsed, from the end of the head.
    offset: usize,
    body: Vec<u8>,
}

/// Parses a request at the start of a buffer. `chunked` must be empty at the start of each request.
pub(crate) fn request(buffer: &[u8], bounds: Bounds, chunked: &mut ChunkedBody) -> Parsed<Request> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_buffer);
    let used = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) if used <= bounds.head => used,
        Ok(httparse::Status::Partial) if buffer.len() <= bounds.head => return Parsed::Partial(0),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431),
        Err(_) => return Parsed::Bad(400),
    };
    let method = head.method.unwrap_or_default().to_owned();
    let target = head.path.unwrap_or_default().to_owned();
    let version = head.version.unwrap_or(1);
    let Some(headers) = to_headers(head.headers) else { return Parsed::Bad(400) };
    let framing = match framing_of(&headers) {
        Some(Framing::UntilClose) => Framing::Length(0),
        Some(framing) => framing,
        None => return Parsed::Bad(400),
    };
    let keep_alive = keeps_alive(&headers, version);
    parse_body(&buffer[used..], used, framing, bounds, keep_alive, chunked, |body| Request {
        method,
        target,
        headers: without_framing(headers),
        body,
    })
}

/// Parses a response at the start of a buffer. `has_ended` tells whether the peer has closed its
/// side. `chunked` must be empty at the start of each response.
pub(crate) fn response(
    buffer: &[u8],
    bounds: Bounds,
    has_ended: bool,
    chunked: &mut ChunkedBody,
) -> Parsed<Response> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut header_buffer);
    let used = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) if used <= bounds.head => used,
        Ok(httparse::Status::Partial) if buffer.len() <= bounds.head => return Parsed::Partial(0),
        _ => return Parsed::Bad(502),
    };
    let status = head.code.unwrap_or_default();
    let version = head.version.unwrap_or(1);
    let Some(headers) = to_headers(head.headers) else { return Parsed::Bad(502) };
    let is_empty = status == 204 || status == 304 || status < 200;
    let framing = match framing_of(&headers) {
        _ if is_empty => Framing::Length(0),
        Some(Framing::UntilClose) if has_ended => Framing::Length(buffer.len() - used),
        Some(Framing::UntilClose) => return Parsed::Partial(0),
        Some(framing) => framing,
        None => return Parsed::Bad(502),
    };
    let keep_alive = keeps_alive(&headers, version) && !has_ended;
    parse_body(&buffer[used..], used, framing, bounds, keep_alive, chunked, |body| Response {
        status,
        headers: without_framing(headers),
        body,
    })
}

fn parse_body<T>(
    rest: &[u8],
    head: usize,
    framing: Framing,
    bounds: Bounds,
    keep_alive: bool,
    chunked: &mut ChunkedBody,
    build: impl FnOnce(Bytes) -> T,
) -> Parsed<T> {
    match framing {
        Framing::Length(length) if length > bounds.body => Parsed::Bad(413),
        Framing::Length(length) if rest.len() < length => Parsed::Partial(head + length),
        Framing::Length(length) => {
            let body = Bytes::copy_from_slice(&rest[..length]);
            Parsed::Complete { message: build(body), used: head + length, keep_alive }
        }
        Framing::Chunked => match chunked.read(rest, bounds) {
            Parsed::Complete { message, used, .. } => {
                Parsed::Complete { message: build(message), used: head + used, keep_alive }
            }
            Parsed::Partial(_) => Parsed::Partial(0),
            Parsed::Bad(status) => Parsed::Bad(status),
        },
        Framing::UntilClose => Parsed::Partial(0),
    }
}

impl ChunkedBody {
    /// Continues to parse a body from `buffer`, which starts at the end of the head.
    fn read(&mut self, buffer: &[u8], bounds: Bounds) -> Parsed<Bytes> {
        loop {
            let rest = &buffer[self.offset..];
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
                return self.skip_trailer(&rest[used..], self.offset + used, bounds);
            }
            let Some(chunk) = rest.get(used..used + size + 2) else { return Parsed::Partial(0) };
            if &chunk[size..] != b"\r\n" {
                return Parsed::Bad(400);
            }
            self.body.extend_from_slice(&chunk[..size]);
            self.offset += used + size + 2;
        }
    }

    /// Skips the trailer section after the last chunk and returns the body.
    fn skip_trailer(&mut self, rest: &[u8], offset: usize, bounds: Bounds) -> Parsed<Bytes> {
        let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::parse_headers(rest, &mut header_buffer) {
            Ok(httparse::Status::Complete((used, _))) => {
                let body = Bytes::from(std::mem::take(&mut self.body));
                Parsed::Complete { message: body, used: offset + used, keep_alive: true }
            }
            Ok(httparse::Status::Partial) if rest.len() <= bounds.head => Parsed::Partial(0),
            _ => Parsed::Bad(400),
        }
    }
}

fn to_headers(headers: &[httparse::Header<'_>]) -> Option<Vec<Header>> {
    let to_header = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).ok()?.trim().to_owned();
        Some(Header { name: header.name.to_owned(), value })
    };
    headers.iter().map(to_header).collect()
}

/// Returns none if the headers are invalid or determine the end of the body in two ways: an
/// intermediary may have followed the other one and taken the bytes for another message.
fn framing_of(headers: &[Header]) -> Option<Framing> {
    let all = |name: &'static str| {
        let named = headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_str())
    };
    let mut lengths = all("Content-Length");
    let mut encodings = all("Transfer-Encoding");
    match (lengths.next(), encodings.next()) {
        (None, None) => Some(Framing::UntilClose),
        (Some(first), None) if lengths.all(|other| other == first) => parse_content_length(first),
        (None, Some(encoding)) if encodings.next().is_none() => {
            encoding.eq_ignore_ascii_case("chunked").then_some(Framing::Chunked)
        }
        _ => None,
    }
}

/// Parses a length that consists of digits only; `parse` alone would accept a sign.
fn parse_content_length(text: &str) -> Option<Framing> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number).map(Framing::Length)
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

/// Encodes a request; `host` is used if the request has no `Host` header.
pub(crate) fn write_request(request: &Request, host: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 + request.body.len());
    let Request { method, target, .. } = request;
    push(&mut bytes, format_args!("{method} {target} HTTP/1.1\r\n"));
    if find(&request.headers, "Host").is_none() {
        push(&mut bytes, format_args!("Host: {host}\r\n"));
    }
    let has_body = !request.body.is_empty() || method == "POST" || method == "PUT";
    push_headers_and_body(&mut bytes, &request.headers, has_body.then_some(&request.body));
    bytes
}

/// Encodes a response.
pub(crate) fn write_response(response: &Response, keep_alive: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128 + response.body.len());
    let (status, reason) = (response.status, reason(response.status));
    push(&mut bytes, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    if !keep_alive {
        push(&mut bytes, format_args!("Connection: close\r\n"));
    }
    push_headers_and_body(&mut bytes, &response.headers, Some(&response.body));
    bytes
}

fn push_headers_and_body(bytes: &mut Vec<u8>, headers: &[Header], body: Option<&Bytes>) {
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
    bytes.write_fmt(text).expect("writing to a vector cannot fail");
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
