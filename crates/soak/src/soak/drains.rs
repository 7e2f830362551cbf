//! Minions that drain and go on after they have deregistered, and listeners that are closed while
//! tasks run on.

use std::{io, ops::Range, time::Duration};

use rand::RngExt as _;
use rand_pcg::Pcg32;
use sapphire_net::message::Limits;
use sapphire_standins::jobs_platform as platform;

use super::{HEARTBEAT_INTERVAL, Pending, Soak, minions};

/// Time for which a minion drains before it deregisters.
const DRAIN_MS: Range<u64> = 300..3_000;
/// Time for which a minion goes on after that, with its listener open or closed.
const SERVING_MS: Range<u64> = 0..5_000;
const CLOSED_MS: Range<u64> = 0..2_000;
/// Time from the end of a minion until the next one on its VM.
const RESTART_MS: Range<u64> = 300..3_000;

/// How a minion drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Plan {
    agent: u8,
    /// Time until it deregisters.
    drain: Duration,
    /// Time from then until it ends.
    excess: Duration,
    /// Whether its listener is closed meanwhile.
    is_closed: bool,
    /// Time from its end until the next minion on its VM.
    restart: Duration,
}

impl Plan {
    pub(super) fn draw(rng: &mut Pcg32, agents: u8) -> Self {
        let mut draw = |range| Duration::from_millis(rng.random_range(range));
        let (drain, restart) = (draw(DRAIN_MS), draw(RESTART_MS));
        let (serving, closed) = (draw(SERVING_MS), draw(CLOSED_MS));
        let is_closed = rng.random_bool(0.5);
        let excess = if is_closed { closed } else { serving };
        Plan { agent: rng.random_range(0..agents), drain, excess, is_closed, restart }
    }

    /// Time from the begin of the drain to the next minion.
    pub(super) fn length(&self) -> Duration {
        self.drain + self.excess + self.restart
    }
}

/// A minion that drains.
pub(super) struct Drain {
    pub(super) agent: u8,
    began: Duration,
    plan: Plan,
    born_ms: u64,
    pub(super) is_deregistered: bool,
    has_ended: bool,
}

impl Soak {
    /// Has a minion drain that runs tasks: the one that was drawn, or the next one after it.
    pub(super) fn begin_drain(&mut self, now: Duration, plan: Plan) {
        let count = self.minions.len();
        let is_busy = |agent: &usize| {
            let minion = &self.minions[*agent];
            minion.is_up && !minion.incarnation.is_draining && !minion.active.is_empty()
        };
        let mut agents = (0..count).map(|step| (usize::from(plan.agent) + step) % count);
        let Some(agent) = agents.find(is_busy) else { return };
        let minion = &mut self.minions[agent];
        let agent = agent as u8;
        minion.incarnation.is_draining = true;
        let born_ms = minion.incarnation.born_ms;
        let (is_deregistered, has_ended) = (false, false);
        self.drains.push(Drain { agent, began: now, plan, born_ms, is_deregistered, has_ended });
    }

    /// Lets minions that drain deregister, end and be started again.
    pub(super) fn drive_drains(&mut self, now: Duration) {
        for mut drain in std::mem::take(&mut self.drains) {
            let Drain { agent, began, plan, .. } = drain;
            let minion = &mut self.minions[usize::from(agent)];
            let born_ms = minion.incarnation.born_ms;
            if self.gone.contains(&agent)
                || minion.is_up == drain.has_ended
                || (minion.is_up && born_ms != drain.born_ms)
            {
                continue;
            }
            let deregisters_at = began + plan.drain;
            let remaining = deregisters_at.saturating_sub(now).as_millis();
            minion.incarnation.remaining_ms = u64::try_from(remaining).unwrap_or(u64::MAX);
            if !drain.is_deregistered && now >= deregisters_at {
                drain.is_deregistered = true;
                let request = platform::deregistration(minion);
                let call = self.hub.call(self.net.heartbeats(agent), &request, HEARTBEAT_INTERVAL);
                self.pending.insert(call, Pending::Heartbeat);
                let count = minion.active.len();
                self.write_log(&format!("m{agent} deregisters, {count} tasks go on"));
            } else if !drain.has_ended && now >= deregisters_at + plan.excess {
                drain.has_ended = true;
                let count = minion.active.len();
                minion.terminate(&self.truth);
                self.write_log(&format!("m{agent} ends, {count} tasks with it"));
            } else if drain.has_ended && now >= began + plan.length() {
                *minion = minions::start(agent, born_ms + 1, &self.options);
                minion.incarnation.id = format!("m{agent}-{}", born_ms + 1);
                self.write_log(&format!("m{agent} starts again, born_ms={}", born_ms + 1));
                continue;
            }
            self.drains.push(drain);
        }
    }

    /// Closes the listeners of minions that are not to be reached, and opens the others.
    pub(super) fn drive_listeners(&mut self, now: Duration) -> io::Result<()> {
        for agent in 0..self.minions.len() as u8 {
            let is_over =
                |drain: &Drain| drain.has_ended || (drain.is_deregistered && drain.plan.is_closed);
            let is_closed = self.spells.refuses(now, agent)
                || self.drains.iter().any(|drain| drain.agent == agent && is_over(drain));
            let mut listeners = self.minion_listeners.iter();
            let listener = listeners.find(|(_, other)| **other == agent).map(|(id, _)| *id);
            match listener {
                Some(listener) if is_closed => {
                    self.minion_listeners.remove(&listener);
                    self.hub.close_listener(listener);
                    self.write_log(&format!("m{agent} listener closed"));
                }
                None if !is_closed => {
                    let listener = self.hub.listen(self.net.minion(agent), Limits::default())?;
                    self.minion_listeners.insert(listener, agent);
                    self.write_log(&format!("m{agent} listener open"));
                }
                _ => {}
            }
        }
        Ok(())
    }
}
