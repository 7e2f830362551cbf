//! The main loop of a role on the event loop: sockets, timers and signals feed one actor.

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

/// All sockets, shared by the loop and the actor.
pub type Net = Rc<RefCell<hub::Hub>>;

/// Longest sleep when no timer is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// What the actor is told.
#[derive(Debug)]
pub enum Event {
    /// Something has happened on a socket.
    Net(hub::Event),
    /// All that has happened so far has been told.
    Settle,
    /// The process is asked to end.
    Terminate,
    /// The settings may have changed.
    Reload,
}

/// Signals that were caught and not handled yet.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Catches SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// When the system refuses a handler.
    pub fn catch() -> eyre::Result<Self> {
        let signals = Signals { terminate: Arc::default(), reload: Arc::default() };
        for signal in [consts::SIGTERM, consts::SIGINT] {
            flag::register(signal, signals.terminate.clone()).wrap_err("signals")?;
        }
        flag::register(consts::SIGHUP, signals.reload.clone()).wrap_err("signals")?;
        Ok(signals)
    }
}

/// The time now.
pub fn now() -> Moment {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment { steady: clock::now(), unix }
}

/// Runs an actor until it shuts the process down.
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
        net.borrow_mut().poll(wait).wrap_err("event loop")?;
        let mut has_news = false;
        loop {
            let Some(event) = net.borrow_mut().next_event() else { break };
            has_news = true;
            deliver(actor, Event::Net(event));
            stakker.run(Instant::now(), false);
        }
        if has_news {
            deliver(actor, Event::Settle);
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
