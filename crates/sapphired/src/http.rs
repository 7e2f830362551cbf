//! Callers and operators over HTTP/1.1.

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

/// Threads that take requests without a body, and answer.
const ACCEPT_THREADS: usize = 2;
const ANSWER_THREADS: usize = 4;
/// Requests whose bodies are read at the same time.
const MAX_READERS: usize = 64;
/// Largest set of headers, in bytes.
const MAX_HEADERS: usize = 16 * 1024;

/// Requests that wait for their answers, by caller.
type Waiting = Arc<Mutex<slab::Slab<Request>>>;

/// Serves HTTP at one address.
#[derive(Clone)]
pub struct Edge {
    waiting: Waiting,
    answers: Sender<(Request, Answer)>,
}

#[derive(Clone)]
struct Intake {
    waiting: Waiting,
    events: Sender<event::Event>,
    max_body: usize,
    readers: Arc<AtomicUsize>,
    answers: Sender<(Request, Answer)>,
}

impl Edge {
    /// Listens and starts the threads.
    ///
    /// # Errors
    /// When the address can't be listened on or a thread can't be started.
    pub fn start(
        address: &str,
        max_body: usize,
        events: &Sender<event::Event>,
    ) -> eyre::Result<Self> {
        let server = Server::http(address).map_err(|error| eyre!("listen {address}: {error}"))?;
        let server = Arc::new(server);
        let waiting = Waiting::default();
        let (answers, queue) = unbounded();
        for _ in 0..ANSWER_THREADS {
            let queue: Receiver<(Request, Answer)> = queue.clone();
            runtime::spawn("http-answer", move || queue.iter().for_each(respond))?;
        }
        let intake = Intake {
            waiting: waiting.clone(),
            events: events.clone(),
            max_body,
            readers: Arc::default(),
            answers: answers.clone(),
        };
        for _ in 0..ACCEPT_THREADS {
            let (server, intake) = (server.clone(), intake.clone());
            runtime::spawn("http", move || {
                while let Ok(request) = server.recv() {
                    intake.take(request);
                }
            })?;
        }
        Ok(Edge { waiting, answers })
    }

    /// Answers a caller. The answer is written by another thread, so a slow caller delays no
    /// decision.
    pub fn answer(&self, caller: event::Caller, answer: Answer) {
        let mut waiting = self.waiting.lock().expect("no thread panics while it holds this");
        let key = usize::try_from(caller).unwrap_or(usize::MAX);
        if let Some(request) = waiting.try_remove(key) {
            let _ = self.answers.send((request, answer));
        }
    }
}

impl Intake {
    fn take(&self, request: Request) {
        let size: usize = request
            .headers()
            .iter()
            .map(|header| header.field.as_str().as_str().len() + header.value.as_str().len())
            .sum();
        if size + request.url().len() > MAX_HEADERS {
            self.refuse(request, 431, "the headers are too long");
            return;
        }
        let length = request.body_length();
        if length.is_some_and(|length| length > self.max_body) {
            self.refuse(request, 413, "the body is too long");
            return;
        }
        let has_body = length != Some(0) && has_body(&request);
        if has_body {
            self.read_apart(request);
        } else {
            self.pass(request, Bytes::new());
        }
    }

    /// Reads a body on a thread of its own, within a bound, so that a caller that sends slowly
    /// delays no other.
    fn read_apart(&self, request: Request) {
        if self.readers.fetch_add(1, Ordering::Relaxed) >= MAX_READERS {
            self.readers.fetch_sub(1, Ordering::Relaxed);
            self.refuse(request, 503, "too many bodies are being read");
            return;
        }
        let intake = self.clone();
        let body = move || {
            intake.read(request);
            intake.readers.fetch_sub(1, Ordering::Relaxed);
        };
        if runtime::spawn("http-body", body).is_err() {
            self.readers.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn read(&self, mut request: Request) {
        let mut body = Vec::new();
        let limit = self.max_body as u64 + 1;
        let read = request.as_reader().take(limit).read_to_end(&mut body);
        if read.is_err() {
            self.refuse(request, 400, "the body was cut off");
        } else if body.len() > self.max_body {
            self.refuse(request, 413, "the body is too long");
        } else {
            self.pass(request, Bytes::from(body));
        }
    }

    fn refuse(&self, request: Request, status: u16, reason: &str) {
        let answer = Answer::failure(status, Account::NotRun, reason);
        let _ = self.answers.send((request, answer));
    }

    fn pass(&self, request: Request, body: Bytes) {
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
        let mut waiting = self.waiting.lock().expect("no thread panics while it holds this");
        let caller = waiting.insert(request) as event::Caller;
        drop(waiting);
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
    // The caller may have left; there is no one to tell.
    let _ = request.respond(response);
}
