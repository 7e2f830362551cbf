//! Main loop of the roles that run on threads: passes events from the other threads to one actor
//! and runs the actor's timers. Also starts helper threads and watches signals.

use std::{
    thread,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use eyre::WrapErr as _;
use signal_hook::{consts, iterator};
use stakker::{ActorOwn, Stakker};

/// Maximum number of further events that are delivered in one turn before timers run.
const MAX_BATCH: usize = 256;
/// Longest sleep when no timer is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Capacity of the queue of events for the main thread; when it is full, senders block.
pub const MAX_EVENTS: usize = 65_536;

/// Runs an actor until it requests the shutdown of the process or all senders of events are gone.
pub fn run<A: 'static, E>(
    stakker: &mut Stakker,
    actor: &ActorOwn<A>,
    events: &Receiver<E>,
    mut deliver: impl FnMut(&mut Stakker, &ActorOwn<A>, E),
) {
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match events.recv_timeout(sleep) {
            Ok(event) => {
                deliver(stakker, actor, event);
                for event in events.try_iter().take(MAX_BATCH) {
                    deliver(stakker, actor, event);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        stakker.run(Instant::now(), false);
    }
}

/// Sends an event on each SIGTERM and SIGINT, which request the end of the process.
///
/// # Errors
/// When the signal handlers can't be installed or the thread can't be started.
pub fn watch_signals<E: Send + 'static>(
    events: Sender<E>,
    event: impl Fn() -> E + Send + 'static,
) -> eyre::Result<()> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])
        .wrap_err("cannot install signal handlers")?;
    spawn("signals", move || {
        for _ in signals.forever() {
            if events.send(event()).is_err() {
                return;
            }
        }
    })
}

/// Stack size of a helper thread.
const STACK_BYTES: usize = 256 * 1024;

/// Starts a named helper thread with a small stack.
///
/// # Errors
/// When the system refuses another thread.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
    builder.spawn(body).wrap_err_with(|| format!("cannot start thread {name}"))?;
    Ok(())
}
