//! Event loop that owns all sockets of a process.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    io::{self, Write as _},
    mem,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use mio::{
    Events, Interest, Poll, Token,
    net::{TcpListener, TcpStream},
};
use nix::{
    libc,
    sys::socket::{setsockopt, sockopt},
};
use slab::Slab;

use crate::{
    clock,
    message::{Limits, Request, Response},
    outbound, parse, server,
    stream::Stream,
    turned_away::TurnedAway,
};

pub use crate::call::{CallId, Failure};
pub use mio::Waker;

/// Identifier of a request that waits for its response; never reused.
pub type CallerId = u64;
/// Identifier of a listening socket.
pub type ListenerId = usize;

/// Token of the waker; no socket has it.
const WAKE: Token = Token(usize::MAX);
/// Largest number of events that one system call returns.
const MAX_EVENTS: usize = 256;
/// Largest number of connections to one address; further calls wait. Higher than the number of
/// calls that one process has outstanding at one peer (a long poll, a report, some relayed calls).
const MAX_CONNECTIONS_PER_TARGET: usize = 16;
/// Most connections that are accepted in one turn.
const MAX_ACCEPTED: usize = 64;
/// Shortest time between two reports of connections that could not be accepted. A process that has
/// run out of file descriptors would otherwise report one at each event. It tries again as often.
const NOT_ACCEPTED_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unused outbound connection is closed; shorter than the idle timeout of usual
/// servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// Event that the owner of the hub handles.
#[derive(Debug)]
pub enum Event {
    /// A caller has sent a request.
    Request {
        /// Caller, as [`Hub::answer`] expects it.
        caller: CallerId,
        /// Listener whose connection the request came from.
        listener: ListenerId,
        /// The request.
        request: Request,
    },
    /// A caller closed its connection before it was answered.
    Disconnected(CallerId),
    /// A call of this process has been completed or has failed.
    Answer {
        /// Call, as [`Hub::call`] returned it.
        call: CallId,
        /// Response, or the reason why there is none.
        result: Result<Response, Failure>,
    },
    /// A connection could not be accepted; reported once per second at most.
    NotAccepted {
        /// Listener of the connection.
        listener: ListenerId,
        /// Kind of the system's error.
        kind: io::ErrorKind,
    },
}

enum Socket {
    Listener { listener: TcpListener, limits: Limits },
    Inbound(Box<server::Connection>, CallerId),
    Outbound(Box<outbound::Connection>),
}

/// What the connections of a listener take.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    connections: usize,
    /// Memory in bytes, as [`Limits::memory_bytes`] counts it.
    memory: usize,
}

/// What a socket is ready for.
#[derive(Clone, Copy, Debug, Default)]
struct Readiness {
    is_readable: bool,
    is_writable: bool,
    /// The peer has closed its sending side.
    is_closed: bool,
}

impl Readiness {
    fn of(event: &mio::event::Event) -> Self {
        let has_ended = event.is_error() || event.is_read_closed() || event.is_write_closed();
        Readiness {
            is_readable: event.is_readable() || has_ended,
            is_writable: event.is_writable() || has_ended,
            is_closed: event.is_read_closed(),
        }
    }
}

/// Connections to one address, and the calls that wait for one.
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
    inbound: BTreeMap<ListenerId, Usage>,
    is_closing: bool,
    /// Time of the last [`Event::NotAccepted`].
    last_not_accepted: Option<Duration>,
    /// Sockets whose turn ended before all available bytes were read or connections accepted.
    unfinished: BTreeSet<usize>,
    /// Listeners at which a connection could not be accepted.
    not_accepting: BTreeSet<ListenerId>,
    turned_away: TurnedAway,
}

impl Hub {
    /// Creates an event loop without sockets.
    ///
    /// # Errors
    /// If the system provides no event queue.
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
            last_not_accepted: None,
            unfinished: BTreeSet::new(),
            not_accepting: BTreeSet::new(),
            turned_away: TurnedAway::default(),
        })
    }

    /// Returns a handle with which other threads end the wait of [`Hub::poll`].
    ///
    /// # Errors
    /// If the system provides no further event source.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(self.poll.registry(), WAKE)
    }

    /// Starts to listen at an address.
    ///
    /// # Errors
    /// If the system does not allow to listen at the address.
    pub fn listen(&mut self, address: SocketAddr, limits: Limits) -> io::Result<ListenerId> {
        let mut listener = TcpListener::bind(address)?;
        // Connections inherit it. Without it the system keeps as much as it likes.
        let _ = setsockopt(&listener, sockopt::RcvBuf, &limits.receive_bytes);
        let entry = self.sockets.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut listener, Token(key), Interest::READABLE)?;
        entry.insert(Socket::Listener { listener, limits });
        self.inbound.insert(key, Usage::default());
        Ok(key)
    }

    /// Changes the size in bytes of the largest body that a listener accepts, for its open connections
    /// from their next requests on.
    pub fn set_body_limit(&mut self, listener: ListenerId, body_bytes: usize) {
        for (key, socket) in &mut self.sockets {
            match socket {
                Socket::Listener { limits, .. } if key == listener => {
                    limits.body_bytes = body_bytes;
                }
                Socket::Inbound(connection, _) if connection.listener == listener => {
                    connection.set_body_limit(body_bytes);
                }
                _ => {}
            }
        }
    }

    /// Closes a listener, so that the system refuses further connections to its address, and resets
    /// the connections that were accepted there.
    pub fn close_listener(&mut self, listener: ListenerId) {
        let is_of = |(key, socket): (usize, &Socket)| match socket {
            Socket::Inbound(connection, caller) if connection.listener == listener => {
                Some((key, *caller))
            }
            _ => None,
        };
        let accepted: Vec<(usize, CallerId)> = self.sockets.iter().filter_map(is_of).collect();
        for (key, caller) in accepted {
            if let Some(Socket::Inbound(connection, _)) = self.sockets.get(key) {
                let reset = libc::linger { l_onoff: 1, l_linger: 0 };
                // Without the option the connection is closed in order.
                let _ = setsockopt(&connection.stream.socket, sockopt::Linger, &reset);
            }
            if self.callers.contains_key(&caller) {
                self.events.push_back(Event::Disconnected(caller));
            }
            self.close(key);
        }
        self.close(listener);
        self.inbound.remove(&listener);
    }

    /// Starts a call. Its result is reported by [`Event::Answer`], at the latest after the timeout
    /// unless the response has begun and keeps arriving.
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
        } else if pool.open < MAX_CONNECTIONS_PER_TARGET {
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

    /// Sends the response to a caller; does nothing if the caller has disconnected.
    pub fn answer(&mut self, caller: CallerId, response: &Response) {
        let Some(key) = self.callers.remove(&caller) else { return };
        let Some(Socket::Inbound(connection, _)) = self.sockets.get_mut(key) else { return };
        if self.is_closing {
            connection.close_after_answer();
        }
        let step = connection.answer(response, clock::now());
        self.inbound_step(key, step);
    }

    /// Makes the hub close each caller's connection after its next response, so that callers turn
    /// to another process without losing a request.
    pub fn close_after_answers(&mut self) {
        self.is_closing = true;
    }

    /// Number of callers that wait for a response.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Whether a response is being written.
    pub fn is_writing(&self) -> bool {
        let is_writing = |socket: &Socket| match socket {
            Socket::Inbound(connection, _) => {
                matches!(connection.phase, server::Phase::Writing { .. })
            }
            _ => false,
        };
        self.sockets.iter().any(|(_, socket)| is_writing(socket))
    }

    /// Returns the numbers of callers that were turned away since the last call.
    pub fn take_turned_away(&mut self) -> TurnedAway {
        mem::take(&mut self.turned_away)
    }

    /// Waits for events, for a deadline or until `wait` is over, and handles the sockets.
    ///
    /// # Errors
    /// If the system's event queue fails.
    pub fn poll(&mut self, wait: Duration) -> io::Result<()> {
        if !self.events.is_empty() {
            return Ok(());
        }
        let wait = if self.unfinished.is_empty() {
            wait.min(self.time_to_next_deadline())
        } else {
            Duration::ZERO
        };
        match self.poll.poll(&mut self.ready, Some(wait)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let unfinished = mem::take(&mut self.unfinished);
        let again = |key| (key, Readiness { is_readable: true, ..Readiness::default() });
        let ready: Vec<(usize, Readiness)> = self
            .ready
            .iter()
            .map(|event| (event.token().0, Readiness::of(event)))
            .chain(unfinished.into_iter().map(again))
            .collect();
        for (key, readiness) in ready {
            self.socket_ready(key, readiness);
        }
        self.expire();
        Ok(())
    }

    /// Returns the next event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn socket_ready(&mut self, key: usize, readiness: Readiness) {
        match self.sockets.get_mut(key) {
            Some(Socket::Listener { .. }) => self.accept(key),
            Some(Socket::Inbound(connection, _)) => {
                if readiness.is_writable {
                    let step = connection.writable(clock::now());
                    self.inbound_step(key, step);
                }
                if let Some(Socket::Inbound(connection, _)) = self.sockets.get_mut(key)
                    && readiness.is_readable
                {
                    let step = connection.readable(readiness.is_closed, clock::now());
                    self.inbound_step(key, step);
                }
            }
            Some(Socket::Outbound(connection)) => {
                let step = connection.ready(readiness.is_readable);
                self.outbound_step(key, step);
            }
            None => {}
        }
    }

    fn accept(&mut self, key: usize) {
        for _ in 0..MAX_ACCEPTED {
            let Some(Socket::Listener { listener, limits }) = self.sockets.get(key) else { return };
            let limits = *limits;
            let mut socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    // The process is out of file descriptors, or the caller has disconnected. No
                    // event announces the connections again that already wait.
                    self.not_accepting.insert(key);
                    self.report_not_accepted(key, &error);
                    return;
                }
            };
            let open = self.inbound.get(&key).map_or(0, |usage| usage.connections);
            if open >= limits.connections && !self.close_stalled(key) {
                self.turned_away.connections += 1;
                refuse_connection(&mut socket, limits);
                continue;
            }
            let entry = self.sockets.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            let token = Token(entry.key());
            if let Err(error) = self.poll.registry().register(&mut socket, token, interest) {
                self.report_not_accepted(key, &error);
                continue;
            }
            let stream = Stream::new(socket);
            let connection = server::Connection::new(stream, key, limits, clock::now());
            entry.insert(Socket::Inbound(Box::new(connection), 0));
            self.inbound.entry(key).or_default().connections += 1;
        }
        self.unfinished.insert(key);
    }

    fn report_not_accepted(&mut self, listener: ListenerId, error: &io::Error) {
        let now = clock::now();
        if self.last_not_accepted.is_none_or(|last| now >= last + NOT_ACCEPTED_INTERVAL) {
            self.last_not_accepted = Some(now);
            self.events.push_back(Event::NotAccepted { listener, kind: error.kind() });
        }
    }

    /// Closes a connection so that a new one can be accepted; returns whether one was closed.
    ///
    /// Guards against callers that open connections and send nothing or only part of a request, and
    /// so block all other callers. The connection whose deadline is the earliest is closed; one
    /// whose request is being served never is.
    fn close_stalled(&mut self, listener: ListenerId) -> bool {
        let stalled = self
            .connections_of(listener)
            .filter_map(|(key, connection)| connection.deadline.map(|deadline| (deadline, key)));
        let Some((_, key)) = stalled.min() else { return false };
        self.turned_away.stalled += 1;
        self.close(key);
        true
    }

    fn connections_of(
        &self,
        listener: ListenerId,
    ) -> impl Iterator<Item = (usize, &server::Connection)> {
        self.sockets.iter().filter_map(move |(key, socket)| match socket {
            Socket::Inbound(connection, _) if connection.listener == listener => {
                Some((key, &**connection))
            }
            _ => None,
        })
    }

    /// Updates what a connection takes of the memory of its listener, and has connections give way
    /// until the listener is within its limit. Returns the step that remains to be done.
    ///
    /// Guards against many callers that each send or leave unread no more than one may, and so
    /// exhaust the memory of the process together.
    fn limit_memory(&mut self, key: usize, mut step: server::Step) -> server::Step {
        self.account(key);
        if matches!(step, server::Step::Disconnected | server::Step::Close) {
            return step;
        }
        let Some(Socket::Inbound(connection, _)) = self.sockets.get(key) else { return step };
        let (listener, limit) = (connection.listener, connection.limits.memory_bytes);
        while self.inbound.get(&listener).is_some_and(|usage| usage.memory > limit) {
            // A request that is being served is not given up, but a new one need not be passed on.
            let is_new = |of| of == key && matches!(step, server::Step::Request(_));
            let largest = self
                .connections_of(listener)
                .filter(|(of, it)| it.accounted > 0 && (it.deadline.is_some() || is_new(*of)))
                .max_by_key(|(_, it)| it.accounted);
            let Some((largest, _)) = largest else { break };
            let next = self.give_way(largest);
            let is_over = matches!(next, server::Step::Close);
            if largest != key {
                if is_over {
                    self.close(largest);
                }
                continue;
            }
            step = next;
            if is_over {
                break;
            }
        }
        step
    }

    /// Refuses the request of a connection, or gives up its response.
    fn give_way(&mut self, key: usize) -> server::Step {
        let Some(Socket::Inbound(connection, _)) = self.sockets.get_mut(key) else {
            return server::Step::Wait;
        };
        let step = match connection.phase {
            server::Phase::Reading | server::Phase::Answering { .. } => {
                connection.refuse(503, clock::now())
            }
            server::Phase::Writing { .. } => {
                self.turned_away.memory += 1;
                server::Step::Close
            }
            server::Phase::Draining => server::Step::Close,
        };
        self.account(key);
        step
    }

    /// Updates what a connection takes of the memory of its listener.
    fn account(&mut self, key: usize) {
        let Some(Socket::Inbound(connection, _)) = self.sockets.get_mut(key) else { return };
        if let Some(status) = connection.refused.take() {
            self.turned_away.count_refusal(status);
        }
        let Some(usage) = self.inbound.get_mut(&connection.listener) else { return };
        let excess = connection.excess();
        usage.memory = usage.memory - connection.accounted + excess;
        connection.accounted = excess;
    }

    fn inbound_step(&mut self, key: usize, step: server::Step) {
        match self.limit_memory(key, step) {
            server::Step::Wait => {}
            server::Step::Again => {
                self.unfinished.insert(key);
            }
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
            server::Step::Disconnected => {
                if let Some(Socket::Inbound(_, caller)) = self.sockets.get(key) {
                    self.events.push_back(Event::Disconnected(*caller));
                }
                self.close(key);
            }
            server::Step::Close => self.close(key),
        }
    }

    fn outbound_step(&mut self, key: usize, step: outbound::Step) {
        match step {
            outbound::Step::Wait => {}
            outbound::Step::Answered { call, response, keep_alive } => {
                self.events.push_back(Event::Answer { call, result: Ok(response) });
                if keep_alive { self.reuse(key) } else { self.close(key) }
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
                if let Some(usage) = self.inbound.get_mut(&connection.listener) {
                    usage.connections -= 1;
                    usage.memory -= connection.accounted;
                }
            }
            Socket::Outbound(connection) => self.remove_outbound(key, connection.target),
        }
    }

    fn remove_outbound(&mut self, key: usize, target: SocketAddr) {
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

    fn time_to_next_deadline(&self) -> Duration {
        let now = clock::now();
        let mut next = Duration::from_secs(60);
        for (_, socket) in &self.sockets {
            let deadline = match socket {
                Socket::Listener { .. } => None,
                Socket::Inbound(connection, _) => connection.deadline,
                Socket::Outbound(connection) => match &connection.call {
                    Some(call) => Some(call.deadline),
                    None => Some(connection.idle_since + IDLE_TIMEOUT),
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
        if !self.not_accepting.is_empty() {
            next = next.min(NOT_ACCEPTED_INTERVAL);
        }
        next
    }

    /// Closes connections and fails calls whose deadline has passed, and accepts connections again
    /// that could not be accepted.
    fn expire(&mut self) {
        let now = clock::now();
        if self.last_not_accepted.is_none_or(|last| now >= last + NOT_ACCEPTED_INTERVAL) {
            for listener in mem::take(&mut self.not_accepting) {
                self.accept(listener);
            }
        }
        let mut expired = Vec::new();
        for (key, socket) in &self.sockets {
            let is_expired = match socket {
                Socket::Listener { .. } => false,
                Socket::Inbound(connection, _) => connection.deadline.is_some_and(|at| now >= at),
                Socket::Outbound(connection) => match &connection.call {
                    Some(call) => now >= call.deadline,
                    None => now >= connection.idle_since + IDLE_TIMEOUT,
                },
            };
            if is_expired {
                expired.push(key);
            }
        }
        for key in expired {
            if let Some(Socket::Outbound(connection)) = self.sockets.get_mut(key)
                && let Some(call) = connection.call.take()
            {
                let result = Err(Failure::Timeout);
                self.events.push_back(Event::Answer { call: call.id, result });
            }
            if let Some(Socket::Inbound(connection, _)) = self.sockets.get(key)
                && connection.is_transferring()
            {
                self.turned_away.late += 1;
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

/// Answers a connection that is not accepted, as far as that is possible without waiting.
fn refuse_connection(socket: &mut TcpStream, limits: Limits) {
    let mut bytes = Vec::new();
    parse::write_response(&mut bytes, &(limits.refusal)(503), false, false);
    // The caller has disconnected, or is told by the end of the connection.
    let _ = socket.write(&bytes);
}
