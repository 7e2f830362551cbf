//! HTTP server with one thread per request, so that a long poll doesn't block other requests.

use std::{sync::Arc, thread};

use eyre::eyre;
use tiny_http::{Header, Method, Request, Response, Server};

/// A request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string without the question mark; empty if there is none.
    pub query: String,
    /// Headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Call {
    /// Value of a query parameter; `None` if it is missing or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }

    /// Value of a header, by its name in lower case; `None` if it is missing or not a number.
    pub fn header(&self, name: &str) -> Option<u64> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.and_then(|(_, value)| value.parse().ok())
    }

    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// The response to a request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// The connection is closed without a response.
    pub is_lost: bool,
}

impl Reply {
    /// Reply with a status and a body, and no headers.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Reply { status, body: body.into(), ..Reply::default() }
    }
}

/// Listens on an address and serves requests in the background until the process ends.
///
/// # Errors
/// Returns an error if the process can't listen on the address.
pub fn serve(
    address: &str,
    handle: impl Fn(Call) -> Reply + Send + Sync + 'static,
) -> eyre::Result<()> {
    let server = Server::http(address).map_err(|error| eyre!("listen {address}: {error}"))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let handle = handle.clone();
            thread::spawn(move || respond(request, &*handle));
        }
    });
    Ok(())
}

fn respond(mut request: Request, handle: &dyn Fn(Call) -> Reply) {
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = request.headers().iter().map(|header| {
        let name = header.field.as_str().as_str().to_ascii_lowercase();
        (name, header.value.as_str().to_owned())
    });
    let headers = headers.collect();
    let method = request.method().clone();
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let reply = handle(Call { method, path, query, headers, body });
    if reply.is_lost {
        // Dropping the writer closes the connection before anything of the response is sent.
        drop(request.into_writer());
        return;
    }
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    for (name, value) in reply.headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response = response.with_header(header);
        }
    }
    let _ = request.respond(response);
}
