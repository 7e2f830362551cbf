//! Threads that make calls to the platform's key-value service.

use crossbeam_channel::{Receiver, Sender, unbounded};
use sapphire_entry::event;
use sapphire_store::{call, http};

use crate::runtime;

/// Threads for calls that are answered at once.
const CALL_THREADS: usize = 2;

type Job = (event::Operation, call::Call);

/// Takes calls and answers them as events.
pub struct Store {
    calls: Sender<Job>,
    watches: Sender<Job>,
}

impl Store {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(address: &str, events: &Sender<event::Event>) -> eyre::Result<Self> {
        let (calls, queue) = unbounded();
        for _ in 0..CALL_THREADS {
            serve("store", address, queue.clone(), events.clone())?;
        }
        let (watches, queue) = unbounded();
        serve("store-watch", address, queue, events.clone())?;
        Ok(Store { calls, watches })
    }

    /// Makes a call; its answer comes as an event. A watch has a thread of its own, so that it
    /// delays no other call.
    pub fn call(&self, operation: event::Operation, call: call::Call) {
        let is_watch = matches!(call, call::Call::Watch { .. });
        let threads = if is_watch { &self.watches } else { &self.calls };
        threads.send((operation, call)).expect("the threads live as long as the process");
    }
}

fn serve(
    name: &str,
    address: &str,
    queue: Receiver<Job>,
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
