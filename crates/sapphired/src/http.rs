//! HTTP/1.1 endpoint of the entry, for callers and operators: accepts requests, reports them as
//! events and writes the answers, on threads of its own.

use std::{
    io::Read as _,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};
use eyre::eyre;
use sapphire_entry::{
    answer::{Account, Answer},
    api, event,
};
use sapphire_wire::Header;
use tiny_http::{Request, Response, Server};

use crate::runtime;

/// Threads that accept requests.
const ACCEPT_THREADS: usize = 2;
/// Threads that write answers.
const ANSWER_THREADS: usize = 4;
/// Maximum number of bodies that are read at the same time, each on a thread of its own.
const MAX_BODY_READERS: usize = 64;
/// Maximum size of all headers and the request target together.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Requests without an answer yet, by the caller's identifier.
type Pending = Arc<Mutex<slab::Slab<Request>>>;

/// Listens at one address and answers the requests that arrive there.
#[derive(Clone)]
pub struct Endpoint {
    pending: Pending,
    answers: Sender<(Request, Answer)>,
}

/// Checks incoming requests, reads their bodies and reports them as events.
#[derive(Clone)]
struct Acceptor {
    pending: Pending,
    events: Sender<event::Event>,
    max_body: usize,
    /// Number of bodies that are being read.
    body_readers: Arc<AtomicUsize>,
    answers: Sender<(Request, Answer)>,
}

impl Endpoint {
    /// Listens and starts the threads.
    ///
    /// # Errors
    /// When the address can't be listened on or a thread can't be started.
    pub fn start(
        address: &str,
        max_body: usize,
        events: &Sender<event::Event>,
    ) -> eyre::Result<Self> {
        let server =
            Server::http(address).map_err(|error| eyre!("cannot listen at {address}: {error}"))?;
        let server = Arc::new(server);
        let pending = Pending::default();
        let (answers, queue) = unbounded();
        for _ in 0..ANSWER_THREADS {
            let queue: Receiver<(Request, Answer)> = queue.clone();
            runtime::spawn("http-answer", move || queue.iter().for_each(respond))?;
        }
        let acceptor = Acceptor {
            pending: pending.clone(),
            events: events.clone(),
            max_body,
            body_readers: Arc::default(),
            answers: answers.clone(),
        };
        for _ in 0..ACCEPT_THREADS {
            let (server, acceptor) = (server.clone(), acceptor.clone());
            runtime::spawn("http", move || {
                while let Ok(request) = server.recv() {
                    acceptor.accept(request);
                }
            })?;
        }
        Ok(Endpoint { pending, answers })
    }

    /// Answers a caller. The answer is written by another thread, so that a slow caller does not
    /// block the main thread.
    pub fn answer(&self, caller: event::Caller, answer: Answer) {
        let mut pending = self.pending.lock().expect("no thread panics while it holds this");
        let key = usize::try_from(caller).unwrap_or(usize::MAX);
        if let Some(request) = pending.try_remove(key) {
            let _ = self.answers.send((request, answer));
        }
    }
}

impl Acceptor {
    /// Rejects requests that are too large and forwards the others.
    fn accept(&self, request: Request) {
        let size: usize = request
            .headers()
            .iter()
            .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len())
            .sum();
        if size + request.url().len() > MAX_HEADER_BYTES {
            self.reject(request, 431, "the headers are too long");
            return;
        }
        let length = request.body_length();
        if length.is_some_and(|length| length > self.max_body) {
            self.reject(request, 413, "the body is too long");
            return;
        }
        let has_body = length != Some(0) && has_body(&request);
        if has_body {
            self.spawn_reader(request);
        } else {
            self.forward(request, Bytes::new());
        }
    }

    /// Reads a body on a thread of its own, so that a caller that sends slowly delays no other. At
    /// most [`MAX_BODY_READERS`] bodies are read at a time.
    fn spawn_reader(&self, request: Request) {
        if self.body_readers.fetch_add(1, Ordering::Relaxed) >= MAX_BODY_READERS {
            self.body_readers.fetch_sub(1, Ordering::Relaxed);
            self.reject(request, 503, "too many bodies are being read");
            return;
        }
        let acceptor = self.clone();
        let body = move || {
            acceptor.read(request);
            acceptor.body_readers.fetch_sub(1, Ordering::Relaxed);
        };
        if runtime::spawn("http-body", body).is_err() {
            self.body_readers.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn read(&self, mut request: Request) {
        let mut body = Vec::new();
        let limit = self.max_body as u64 + 1;
        let read = request.as_reader().take(limit).read_to_end(&mut body);
        if read.is_err() {
            self.reject(request, 400, "the body was cut off");
        } else if body.len() > self.max_body {
            self.reject(request, 413, "the body is too long");
        } else {
            self.forward(request, Bytes::from(body));
        }
    }

    fn reject(&self, request: Request, status: u16, reason: &str) {
        let answer = Answer::failure(status, Account::NotRun, reason);
        let _ = self.answers.send((request, answer));
    }

    /// Keeps the request until it is answered and reports it as an event.
    fn forward(&self, request: Request, body: Bytes) {
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        let headers = request.headers().iter().map(|header| Header {
            name: header.field.as_str().as_str().to_owned(),
            value: header.value.as_str().to_owned(),
        });
        let call = api::Request {
            method: request.method().as_str().to_ascii_uppercase(),
            path: path.to_owned(),
            query: query.to_owned(),
            headers: headers.collect(),
            body,
        };
        let mut pending = self.pending.lock().expect("no thread panics while it holds this");
        let caller = pending.insert(request) as event::Caller;
        drop(pending);
        let _ = self.events.send(event::Event::Http(caller, call));
    }
}

fn has_body(request: &Request) -> bool {
    request.body_length().is_some()
        || request.headers().iter().any(|header| header.field.equiv("Transfer-Encoding"))
}

fn respond((request, answer): (Request, Answer)) {
    let mut response = Response::from_data(answer.body.to_vec()).with_status_code(answer.status);
    for header in &answer.headers {
        let parsed = tiny_http::Header::from_bytes(header.name.as_bytes(), header.value.as_bytes());
        if let Ok(header) = parsed {
            response = response.with_header(header);
        }
    }
    // The caller may have disconnected; nothing else depends on the answer.
    let _ = request.respond(response);
}
