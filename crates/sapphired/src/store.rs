//! Client of the key-value store: makes calls on threads of its own and reports each reply as an
//! event.

use crossbeam_channel::{Receiver, Sender, unbounded};
use sapphire_entry::event;
use sapphire_store::{call, http};

use crate::runtime;

/// Threads for calls other than watches, which the store answers at once.
const CALL_THREADS: usize = 2;

/// A call with the identifier under which its reply is reported.
type Request = (event::Operation, call::Call);

/// Queues of calls for the threads.
pub struct Store {
    calls: Sender<Request>,
    watches: Sender<Request>,
}

impl Store {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(address: &str, events: &Sender<event::Event>) -> eyre::Result<Self> {
        let (calls, queue) = unbounded();
        for _ in 0..CALL_THREADS {
            spawn_client("store", address, queue.clone(), events.clone())?;
        }
        let (watches, queue) = unbounded();
        spawn_client("store-watch", address, queue, events.clone())?;
        Ok(Store { calls, watches })
    }

    /// Queues a call; its reply is reported as an event. Watches have a thread of their own, so
    /// that they delay no other call.
    pub fn call(&self, operation: event::Operation, call: call::Call) {
        let is_watch = matches!(call, call::Call::Watch { .. });
        let threads = if is_watch { &self.watches } else { &self.calls };
        threads.send((operation, call)).expect("the threads live as long as the process");
    }
}

/// Starts a thread that makes the calls of a queue one after the other.
fn spawn_client(
    name: &str,
    address: &str,
    queue: Receiver<Request>,
    events: Sender<event::Event>,
) -> eyre::Result<()> {
    let client = http::Client::new(address);
    runtime::spawn(name, move || {
        for (operation, call) in queue {
            let reply = client.call(&call);
            if events.send(event::Event::Store(operation, reply)).is_err() {
                return;
            }
        }
    })
}
