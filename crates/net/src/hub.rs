//! All sockets of a process on one event loop.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use mio::{
    Events, Interest, Poll, Token,
    net::{TcpListener, TcpStream},
};
use slab::Slab;

use crate::{
    clock,
    message::{Limits, Request, Response},
    outbound, parse, server,
    stream::Stream,
};

pub use crate::call::{CallId, Failure};

/// A request that waits for its answer. Not used again after the answer.
pub type CallerId = u64;
/// A listening address.
pub type ListenerId = usize;

/// Events taken from the system at once.
const MAX_EVENTS: usize = 256;
/// Connections to one address; further calls wait. Above the calls that one process has under
/// way at one peer at once (a long poll, a report, some relayed calls).
const MAX_OUTBOUND: usize = 16;
/// Time between two reports of connections that were not taken. Without descriptors each event
/// would bring one.
const TELL_AGAIN: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed, below what servers usually keep one for.
const IDLE: Duration = Duration::from_secs(12);

/// What has happened.
#[derive(Debug)]
pub enum Event {
    /// A caller asks something.
    Request {
        /// To be named in the answer.
        caller: CallerId,
        /// Where it came in.
        listener: ListenerId,
        /// The request.
        request: Request,
    },
    /// A caller left before its answer.
    Left(CallerId),
    /// A call of this process has come to its end.
    Answer {
        /// The call.
        call: CallId,
        /// Its outcome.
        result: Result<Response, Failure>,
    },
    /// A connection was not taken; told once a second at most.
    NotAccepted {
        /// Where it came in.
        listener: ListenerId,
        /// What the system said.
        kind: io::ErrorKind,
    },
}

enum Socket {
    Listener { listener: TcpListener, limits: Limits },
    Inbound(Box<server::Connection>, CallerId),
    Outbound(Box<outbound::Connection>),
}

/// Connections to one address.
#[derive(Default)]
struct Pool {
    idle: Vec<usize>,
    open: usize,
    waiting: VecDeque<outbound::Call>,
}

/// The event loop.
pub struct Hub {
    poll: Poll,
    ready: Events,
    sockets: Slab<Socket>,
    callers: BTreeMap<CallerId, usize>,
    pools: BTreeMap<SocketAddr, Pool>,
    events: VecDeque<Event>,
    last_id: u64,
    inbound: BTreeMap<ListenerId, usize>,
    is_closing: bool,
    /// When a connection that was not taken was last told of.
    told_not_accepted: Option<Duration>,
}

impl Hub {
    /// A loop without sockets.
    ///
    /// # Errors
    /// When the system gives no event queue.
    pub fn new() -> io::Result<Self> {
        Ok(Hub {
            poll: Poll::new()?,
            ready: Events::with_capacity(MAX_EVENTS),
            sockets: Slab::new(),
            callers: BTreeMap::new(),
            pools: BTreeMap::new(),
            events: VecDeque::new(),
            last_id: 0,
            inbound: BTreeMap::new(),
            is_closing: false,
            told_not_accepted: None,
        })
    }

    /// Listens at an address.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn listen(&mut self, address: SocketAddr, limits: Limits) -> io::Result<ListenerId> {
        let mut listener = TcpListener::bind(address)?;
        let entry = self.sockets.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut listener, Token(key), Interest::READABLE)?;
        entry.insert(Socket::Listener { listener, limits });
        self.inbound.insert(key, 0);
        Ok(key)
    }

    /// Makes a call. Its outcome comes as an event, at the latest after the time-out unless the
    /// answer has begun and keeps arriving.
    pub fn call(&mut self, target: SocketAddr, request: &Request, timeout: Duration) -> CallId {
        self.last_id += 1;
        let id = self.last_id;
        let bytes = Bytes::from(parse::write_request(request, &target.to_string()));
        let deadline = clock::now() + timeout;
        self.dispatch(target, outbound::Call::new(id, bytes, deadline));
        id
    }

    fn dispatch(&mut self, target: SocketAddr, call: outbound::Call) {
        let pool = self.pools.entry(target).or_default();
        if let Some(key) = pool.idle.pop() {
            self.send(key, call);
        } else if pool.open < MAX_OUTBOUND {
            self.connect(target, call);
        } else {
            pool.waiting.push_back(call);
        }
    }

    fn connect(&mut self, target: SocketAddr, call: outbound::Call) {
        let id = call.id;
        let opened = TcpStream::connect(target).and_then(|mut socket| {
            let entry = self.sockets.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut socket, Token(entry.key()), interest)?;
            let mut connection = outbound::Connection::new(Stream::new(socket), target);
            connection.send(call);
            entry.insert(Socket::Outbound(Box::new(connection)));
            Ok(())
        });
        match opened {
            Ok(()) => self.pools.entry(target).or_default().open += 1,
            Err(error) => {
                let result = Err(Failure::of(&error));
                self.events.push_back(Event::Answer { call: id, result });
            }
        }
    }

    fn send(&mut self, key: usize, call: outbound::Call) {
        let Some(Socket::Outbound(connection)) = self.sockets.get_mut(key) else { return };
        let step = connection.send(call);
        self.outbound_step(key, step);
    }

    /// Answers a caller; does nothing when it has left.
    pub fn answer(&mut self, caller: CallerId, response: &Response) {
        let Some(key) = self.callers.remove(&caller) else { return };
        let Some(Socket::Inbound(connection, _)) = self.sockets.get_mut(key) else { return };
        if self.is_closing {
            connection.close_after_answer();
        }
        let step = connection.answer(response, clock::now());
        self.inbound_step(key, step);
    }

    /// Closes each connection of a caller with its next answer, so that callers go elsewhere
    /// without losing a request.
    pub fn close_after_answers(&mut self) {
        self.is_closing = true;
    }

    /// Callers that wait for an answer.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Waits for something to happen, or for a while.
    ///
    /// # Errors
    /// When the system's event queue fails.
    pub fn poll(&mut self, wait: Duration) -> io::Result<()> {
        if !self.events.is_empty() {
            return Ok(());
        }
        let wait = wait.min(self.until_deadline());
        match self.poll.poll(&mut self.ready, Some(wait)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let happened: Vec<(usize, bool, bool)> = self
            .ready
            .iter()
            .map(|event| {
                let is_over = event.is_error() || event.is_read_closed() || event.is_write_closed();
                (event.token().0, event.is_readable() || is_over, event.is_writable() || is_over)
            })
            .collect();
        for (key, is_readable, is_writable) in happened {
            self.socket_ready(key, is_readable, is_writable);
        }
        self.expire();
        Ok(())
    }

    /// Next event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn socket_ready(&mut self, key: usize, is_readable: bool, is_writable: bool) {
        match self.sockets.get_mut(key) {
            Some(Socket::Listener { .. }) => self.accept(key),
            Some(Socket::Inbound(connection, _)) => {
                if is_writable {
                    let step = connection.writable(clock::now());
                    self.inbound_step(key, step);
                }
                if let Some(Socket::Inbound(connection, _)) = self.sockets.get_mut(key)
                    && is_readable
                {
                    let step = connection.readable(clock::now());
                    self.inbound_step(key, step);
                }
            }
            Some(Socket::Outbound(connection)) => {
                let step = connection.ready(is_readable);
                self.outbound_step(key, step);
            }
            None => {}
        }
    }

    fn accept(&mut self, key: usize) {
        loop {
            let Some(Socket::Listener { listener, limits }) = self.sockets.get(key) else { return };
            let limits = *limits;
            let mut socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    // Out of descriptors, or the caller has left: the next event tries again.
                    self.not_accepted(key, &error);
                    return;
                }
            };
            if self.inbound.get(&key).is_some_and(|open| *open >= limits.connections) {
                self.close_oldest(key);
            }
            let entry = self.sockets.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            let token = Token(entry.key());
            if let Err(error) = self.poll.registry().register(&mut socket, token, interest) {
                self.not_accepted(key, &error);
                continue;
            }
            let stream = Stream::new(socket);
            let connection = server::Connection::new(stream, key, limits, clock::now());
            entry.insert(Socket::Inbound(Box::new(connection), 0));
            *self.inbound.entry(key).or_default() += 1;
        }
    }

    fn not_accepted(&mut self, listener: ListenerId, error: &io::Error) {
        let now = clock::now();
        if self.told_not_accepted.is_none_or(|told| now >= told + TELL_AGAIN) {
            self.told_not_accepted = Some(now);
            self.events.push_back(Event::NotAccepted { listener, kind: error.kind() });
        }
    }

    /// Makes room for a new connection.
    ///
    /// Guards against callers that open connections and send nothing or only part of a request:
    /// without it they keep every other caller out. The one that has stalled longest goes first;
    /// one whose request is being served never does.
    fn close_oldest(&mut self, listener: ListenerId) {
        let stalled = self.sockets.iter().filter_map(|(key, socket)| match socket {
            Socket::Inbound(connection, _) if connection.listener == listener => {
                connection.deadline.map(|deadline| (deadline, key))
            }
            _ => None,
        });
        if let Some((_, key)) = stalled.min() {
            self.close(key);
        }
    }

    fn inbound_step(&mut self, key: usize, step: server::Step) {
        match step {
            server::Step::Wait => {}
            server::Step::Request(request) => {
                let Some(Socket::Inbound(connection, caller)) = self.sockets.get_mut(key) else {
                    return;
                };
                self.last_id += 1;
                *caller = self.last_id;
                self.callers.insert(self.last_id, key);
                let listener = connection.listener;
                self.events.push_back(Event::Request { caller: self.last_id, listener, request });
            }
            server::Step::Left => {
                if let Some(Socket::Inbound(_, caller)) = self.sockets.get(key) {
                    self.events.push_back(Event::Left(*caller));
                }
                self.close(key);
            }
            server::Step::Close => self.close(key),
        }
    }

    fn outbound_step(&mut self, key: usize, step: outbound::Step) {
        match step {
            outbound::Step::Wait => {}
            outbound::Step::Answered { call, response, keeps } => {
                self.events.push_back(Event::Answer { call, result: Ok(response) });
                if keeps { self.reuse(key) } else { self.close(key) }
            }
            outbound::Step::Broken { call, failure } => {
                if let Some(call) = call {
                    self.events.push_back(Event::Answer { call, result: Err(failure) });
                }
                self.close(key);
            }
        }
    }

    fn reuse(&mut self, key: usize) {
        let Some(Socket::Outbound(connection)) = self.sockets.get_mut(key) else { return };
        connection.idle_since = clock::now();
        let Some(pool) = self.pools.get_mut(&connection.target) else { return };
        match pool.waiting.pop_front() {
            Some(call) => self.send(key, call),
            None => pool.idle.push(key),
        }
    }

    fn close(&mut self, key: usize) {
        let Some(socket) = self.sockets.try_remove(key) else { return };
        match socket {
            Socket::Listener { .. } => {}
            Socket::Inbound(connection, caller) => {
                self.callers.remove(&caller);
                if let Some(open) = self.inbound.get_mut(&connection.listener) {
                    *open -= 1;
                }
            }
            Socket::Outbound(connection) => self.closed_outbound(key, connection.target),
        }
    }

    fn closed_outbound(&mut self, key: usize, target: SocketAddr) {
        let Some(pool) = self.pools.get_mut(&target) else { return };
        pool.open -= 1;
        pool.idle.retain(|idle| *idle != key);
        let next = pool.waiting.pop_front();
        if pool.open == 0 && next.is_none() {
            self.pools.remove(&target);
        }
        if let Some(call) = next {
            self.connect(target, call);
        }
    }

    fn until_deadline(&self) -> Duration {
        let now = clock::now();
        let mut next = Duration::from_secs(60);
        for (_, socket) in &self.sockets {
            let deadline = match socket {
                Socket::Listener { .. } => None,
                Socket::Inbound(connection, _) => connection.deadline,
                Socket::Outbound(connection) => match &connection.call {
                    Some(call) => Some(call.deadline),
                    None => Some(connection.idle_since + IDLE),
                },
            };
            if let Some(deadline) = deadline {
                next = next.min(deadline.saturating_sub(now));
            }
        }
        for pool in self.pools.values() {
            for call in &pool.waiting {
                next = next.min(call.deadline.saturating_sub(now));
            }
        }
        next
    }

    /// Ends what has taken too long.
    fn expire(&mut self) {
        let now = clock::now();
        let mut over = Vec::new();
        for (key, socket) in &self.sockets {
            let is_over = match socket {
                Socket::Listener { .. } => false,
                Socket::Inbound(connection, _) => connection.deadline.is_some_and(|at| now >= at),
                Socket::Outbound(connection) => match &connection.call {
                    Some(call) => now >= call.deadline,
                    None => now >= connection.idle_since + IDLE,
                },
            };
            if is_over {
                over.push(key);
            }
        }
        for key in over {
            if let Some(Socket::Outbound(connection)) = self.sockets.get_mut(key)
                && let Some(call) = connection.call.take()
            {
                let result = Err(Failure::Timeout);
                self.events.push_back(Event::Answer { call: call.id, result });
            }
            self.close(key);
        }
        for pool in self.pools.values_mut() {
            pool.waiting.retain(|call| {
                if now < call.deadline {
                    return true;
                }
                let result = Err(Failure::Timeout);
                self.events.push_back(Event::Answer { call: call.id, result });
                false
            });
        }
    }
}
