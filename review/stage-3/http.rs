//! HTTP/1.1 server with a thread for each connection, and a client with a connection for each call.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
}

/// Status and body of a response; `None` closes the connection without one.
pub type Reply = Option<(u16, String)>;

/// Serves requests at an address until the process ends.
pub fn serve(
    address: &str,
    handle: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handle(request) else { return Ok(()) };
        write!(
            writer,
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut lengths =
        headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    let length = lengths.next().and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Makes a call; the status and the body of the response.
pub fn call(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let parsed = address.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let mut stream = TcpStream::connect_timeout(&parsed, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (first, headers) = read_head(&mut reader)?.ok_or_else(closed)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let body = read_body(&mut reader, &headers)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
