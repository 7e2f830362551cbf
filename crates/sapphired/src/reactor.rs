//! Main loop of the roles that run on one event loop: passes socket events and signals to one actor
//! and runs the actor's timers.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use eyre::WrapErr as _;
use sapphire_net::{clock, hub};
use sapphire_planner::event::Moment;
use signal_hook::{consts, flag};
use stakker::{ActorOwn, Stakker};

/// All sockets of the process, shared by the main loop and the actor.
pub type Net = Rc<RefCell<hub::Hub>>;

/// Longest sleep when no timer is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// An event for the actor.
#[derive(Debug)]
pub enum Event {
    /// An event on a socket.
    Net(hub::Event),
    /// All socket events that were pending have been delivered.
    BatchEnd,
    /// SIGTERM or SIGINT: the process shall shut down.
    Terminate,
    /// SIGHUP: the settings may have changed.
    Reload,
}

/// Flags of signals that were caught and have not been handled yet.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// When a handler can't be installed.
    pub fn catch() -> eyre::Result<Self> {
        let signals = Signals { terminate: Arc::default(), reload: Arc::default() };
        for signal in [consts::SIGTERM, consts::SIGINT] {
            flag::register(signal, signals.terminate.clone())
                .wrap_err("cannot install signal handlers")?;
        }
        flag::register(consts::SIGHUP, signals.reload.clone())
            .wrap_err("cannot install signal handlers")?;
        Ok(signals)
    }
}

/// Current time of the monotonic clock and of the wall clock.
pub fn now() -> Moment {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment { steady: clock::now(), unix }
}

/// Runs an actor until it requests the shutdown of the process.
///
/// # Errors
/// When the system's event queue fails.
pub fn run<A: 'static>(
    stakker: &mut Stakker,
    actor: &ActorOwn<A>,
    net: &Net,
    signals: &Signals,
    mut deliver: impl FnMut(&ActorOwn<A>, Event),
) -> eyre::Result<()> {
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        net.borrow_mut().poll(wait).wrap_err("event loop failed")?;
        let mut has_events = false;
        loop {
            let Some(event) = net.borrow_mut().next_event() else { break };
            has_events = true;
            deliver(actor, Event::Net(event));
            stakker.run(Instant::now(), false);
        }
        if has_events {
            deliver(actor, Event::BatchEnd);
        }
        if signals.terminate.swap(false, Ordering::Relaxed) {
            deliver(actor, Event::Terminate);
        }
        if signals.reload.swap(false, Ordering::Relaxed) {
            deliver(actor, Event::Reload);
        }
        stakker.run(Instant::now(), false);
    }
    Ok(())
}
