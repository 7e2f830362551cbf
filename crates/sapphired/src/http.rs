//! HTTP/1.1 endpoint of the entry, for callers and operators: an event loop on a thread of its own,
//! which reports requests as events and writes the answers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender, TryRecvError, bounded, unbounded};
use eyre::WrapErr as _;
use sapphire_entry::{
    answer::{Account, Answer},
    api, event,
};
use sapphire_net::{
    hub::{Event, Hub, Waker},
    message::{Limits, Request, Response},
    turned_away::TurnedAway,
};
use sapphire_wire::Header;

use crate::runtime;

/// Longest wait for network events.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which answers are written after the endpoint has been finished.
const MAX_FINISH: Duration = Duration::from_secs(2);

/// Order to the thread of the endpoint.
enum Order {
    Answer(event::Caller, Answer),
    CloseAfterAnswers,
}

/// Listens at one address and answers the requests that arrive there.
#[derive(Clone)]
pub struct Endpoint {
    orders: Sender<Order>,
    waker: Arc<Waker>,
    turned_away: Arc<Mutex<TurnedAway>>,
    /// Disconnected once the thread has ended.
    ended: Receiver<()>,
}

/// What the thread of the endpoint owns.
struct Server {
    hub: Hub,
    events: Sender<event::Event>,
    orders: Receiver<Order>,
    turned_away: Arc<Mutex<TurnedAway>>,
}

impl Endpoint {
    /// Listens and starts the thread.
    ///
    /// # Errors
    /// When the address can't be listened on or the thread can't be started.
    pub fn start(
        address: &str,
        limits: Limits,
        events: &Sender<event::Event>,
    ) -> eyre::Result<Self> {
        let parsed: SocketAddr =
            address.parse().wrap_err_with(|| format!("invalid address {address}"))?;
        let mut hub = Hub::new().wrap_err("cannot create the event loop")?;
        hub.listen(parsed, limits).wrap_err_with(|| format!("cannot listen at {address}"))?;
        let waker = Arc::new(hub.waker().wrap_err("cannot create the event loop")?);
        let (orders, queue) = unbounded();
        let (running, ended) = bounded(0);
        let turned_away = Arc::default();
        let mut server = Server {
            hub,
            events: events.clone(),
            orders: queue,
            turned_away: Arc::clone(&turned_away),
        };
        runtime::spawn("http", move || {
            if let Err(error) = server.run() {
                log::error!(target: "sapphire", "edge: the event loop failed: {error}");
            }
            drop(running);
        })?;
        Ok(Endpoint { orders, waker, turned_away, ended })
    }

    /// Answers a caller. The answer is written by another thread, so that a slow caller does not
    /// block the main thread.
    pub fn answer(&self, caller: event::Caller, answer: Answer) {
        self.send(Order::Answer(caller, answer));
    }

    /// Closes each connection after its next answer, so that callers turn to another entry without
    /// losing a request.
    pub fn close_after_answers(&self) {
        self.send(Order::CloseAfterAnswers);
    }

    /// Returns the numbers of callers that were turned away since the last call.
    pub fn take_turned_away(&self) -> TurnedAway {
        let mut turned_away = self.turned_away.lock().expect("no thread panics while it holds it");
        std::mem::take(&mut *turned_away)
    }

    /// Waits until the answers have been written, for a limited time.
    pub fn finish(self) {
        let Endpoint { orders, waker, ended, .. } = self;
        drop(orders);
        // A wait that goes on ends by itself after a short time.
        let _ = waker.wake();
        let _ = ended.recv_timeout(MAX_FINISH);
    }

    fn send(&self, order: Order) {
        // Fails only after the event loop has failed, which was logged.
        if self.orders.send(order).is_ok() {
            let _ = self.waker.wake();
        }
    }
}

impl Server {
    /// Serves until the endpoint is finished or nothing receives the events any more.
    fn run(&mut self) -> std::io::Result<()> {
        while self.perform_orders() {
            self.hub.poll(MAX_WAIT)?;
            while let Some(event) = self.hub.next_event() {
                if !self.handle(event) {
                    return Ok(());
                }
            }
            self.count_turned_away();
        }
        let deadline = Instant::now() + MAX_FINISH;
        while self.hub.is_writing() && Instant::now() < deadline {
            self.hub.poll(MAX_WAIT.min(deadline.saturating_duration_since(Instant::now())))?;
        }
        Ok(())
    }

    /// Returns false once there will be no more orders.
    fn perform_orders(&mut self) -> bool {
        loop {
            match self.orders.try_recv() {
                Ok(Order::Answer(caller, answer)) => self.hub.answer(caller, &response(answer)),
                Ok(Order::CloseAfterAnswers) => self.hub.close_after_answers(),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Passes an event on; returns false if nothing receives it.
    fn handle(&self, event: Event) -> bool {
        let event = match event {
            Event::Request { caller, request, .. } => event::Event::Http(caller, call(request)),
            Event::Disconnected(caller) => event::Event::CallerLeft(caller),
            Event::NotAccepted { kind, .. } => {
                log::warn!(target: "sapphire", "edge: a connection was not accepted: {kind}");
                return true;
            }
            Event::Answer { .. } => return true,
        };
        self.events.send(event).is_ok()
    }

    fn count_turned_away(&mut self) {
        let counted = self.hub.take_turned_away();
        self.turned_away.lock().expect("no thread panics while it holds it").add(counted);
    }
}

/// Response to a request that is refused without being passed on.
pub fn refusal(status: u16) -> Response {
    let reason = match status {
        413 => "the body is too long",
        431 => "the headers are too long",
        503 => "the entry is short of memory or connections",
        _ => "the request is not valid HTTP",
    };
    let answer = Answer::failure(status, Account::NotRun, reason);
    response(if status == 503 { answer.retry_after(RETRY_AFTER) } else { answer })
}

/// Time after which a caller that was refused for lack of resources may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

fn call(request: Request) -> api::Request {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let header = |header: &sapphire_net::message::Header| Header {
        name: header.name.clone(),
        value: header.value.clone(),
    };
    api::Request {
        method: request.method.to_ascii_uppercase(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: request.headers.iter().map(header).collect(),
        body: request.body.clone(),
    }
}

fn response(answer: Answer) -> Response {
    let mut response = Response::new(answer.status, answer.body);
    for header in answer.headers {
        // A line break would end the header and let a minion write others.
        if !header.value.contains(['\r', '\n']) && api::is_end_to_end(&header.name) {
            response = response.with(&header.name, &header.value);
        }
    }
    response
}
