//! Parser and writer of HTTP/1.1 messages.

use std::io::Write as _;

use bytes::Bytes;

use crate::{
    body::Framing,
    message::{Header, Request, Response, find},
};

/// Largest number of headers of one message.
const MAX_HEADERS: usize = 64;

/// Size limits of a message in bytes; `head` is the start line with the headers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) head: usize,
    pub(crate) body: usize,
}

/// Start line and headers of a message.
pub(crate) struct Head<T> {
    /// The message without its body.
    pub(crate) message: T,
    /// Length of the head in bytes.
    pub(crate) length: usize,
    pub(crate) framing: Framing,
    /// Whether the connection can be used for another message.
    pub(crate) keep_alive: bool,
    /// Whether the sender waits for a response with status 100 before it sends the body.
    pub(crate) awaits_continue: bool,
}

/// Parses the head of a request at the start of a buffer; returns none if it is incomplete.
///
/// # Errors
/// The status code that fits, if the head is malformed or exceeds the limit.
pub(crate) fn request_head(buffer: &[u8], bounds: Bounds) -> Result<Option<Head<Request>>, u16> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_buffer);
    let length = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= bounds.head => length,
        Ok(httparse::Status::Partial) if buffer.len() <= bounds.head => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(431),
        Err(_) => return Err(400),
    };
    let method = head.method.unwrap_or_default().to_owned();
    let target = head.path.unwrap_or_default().to_owned();
    let version = head.version.unwrap_or(1);
    let headers = to_headers(head.headers).ok_or(400_u16)?;
    let framing = match framing_of(&headers).ok_or(400_u16)? {
        Framing::UntilClose => Framing::Length(0),
        framing => framing,
    };
    let keep_alive = keeps_alive(&headers, version);
    let expects =
        find(&headers, "Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    let message = Request { method, target, headers: without_framing(headers), body: Bytes::new() };
    let awaits_continue = expects && version >= 1;
    Ok(Some(Head { message, length, framing, keep_alive, awaits_continue }))
}

/// Parses the head of a response at the start of a buffer; returns none if it is incomplete.
///
/// # Errors
/// Status code 502, if the head is malformed or exceeds the limit.
pub(crate) fn response_head(buffer: &[u8], bounds: Bounds) -> Result<Option<Head<Response>>, u16> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut header_buffer);
    let length = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= bounds.head => length,
        Ok(httparse::Status::Partial) if buffer.len() <= bounds.head => return Ok(None),
        _ => return Err(502),
    };
    let status = head.code.unwrap_or_default();
    let version = head.version.unwrap_or(1);
    let headers = to_headers(head.headers).ok_or(502_u16)?;
    let framing = match framing_of(&headers) {
        _ if has_no_body(status) => Framing::Length(0),
        framing => framing.ok_or(502_u16)?,
    };
    let keep_alive = keeps_alive(&headers, version) && framing != Framing::UntilClose;
    let message = Response { status, headers: without_framing(headers), body: Bytes::new() };
    Ok(Some(Head { message, length, framing, keep_alive, awaits_continue: false }))
}

/// Whether responses with this status code never have a body.
fn has_no_body(status: u16) -> bool {
    status == 204 || status == 304 || status < 200
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
    for header in &request.headers {
        push(&mut bytes, format_args!("{}: {}\r\n", header.name, header.value));
    }
    if has_body {
        push(&mut bytes, format_args!("Content-Length: {}\r\n", request.body.len()));
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Appends an encoded response; `omits_body` for the response to a `HEAD` request.
pub(crate) fn write_response(
    bytes: &mut Vec<u8>,
    response: &Response,
    keep_alive: bool,
    omits_body: bool,
) {
    let (status, reason) = (response.status, reason(response.status));
    push(bytes, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    if !keep_alive {
        push(bytes, format_args!("Connection: close\r\n"));
    }
    for header in &response.headers {
        push(bytes, format_args!("{}: {}\r\n", header.name, header.value));
    }
    if has_no_body(status) {
        bytes.extend_from_slice(b"\r\n");
        return;
    }
    push(bytes, format_args!("Content-Length: {}\r\n\r\n", response.body.len()));
    if !omits_body {
        bytes.extend_from_slice(&response.body);
    }
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
