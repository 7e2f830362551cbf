//! Spells in which one process, link, store or minion is held up for some seconds while all else goes on.

use std::{ops::Range, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::task::Task;
use sapphire_proofs::jobs::minion::Active;

use super::{
    Options, Soak,
    spells::{Kind, Spell, Spells},
};
use crate::{
    fleet::ENTRIES,
    proxy::{Mode, Scope},
};

/// Time for which a process or a link is held up.
const HELD_MS: Range<u64> = 1_500..5_000;
/// The same for half of the agents that are held up, right before a run ends: a lease of 3.6 s ends
/// meanwhile, one of 5.4 s only if two such spells overlap.
const LONG_HELD_MS: Range<u64> = 3_700..5_000;
/// Work that such a run has left at most, and the time until it is looked for again.
const REMAINING: Duration = Duration::from_millis(150);
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time within which the answers to polls are lost.
const LOST_MS: Range<u64> = 200..1_500;
/// Time for which the store is slow, and by how much.
const STORE_MS: Range<u64> = 1_000..6_000;
const STORE_DELAY_MS: Range<u64> = 300..2_000;
/// Time for which a minion refuses connections or hangs.
const MINION_MS: Range<u64> = 2_000..5_000;
/// Time from one spell of a kind to the next, and the same for planners, each of which is replaced.
const INTERVAL_MS: Range<u64> = 200..3_000;
const PLANNER_INTERVAL_MS: Range<u64> = 3_000..9_000;
/// Share of the spells that come again at once, and the time until then.
const SERIES_SHARE: f64 = 0.3;
const SERIES_MS: Range<u64> = 50..800;
/// Share of the spells during which the next one begins.
const OVERLAP_SHARE: f64 = 0.3;
/// Tasks of a job, and their work. They keep most minions busy, and end while their agents are held up.
pub(super) const TASKS: Range<u32> = 1..5;
pub(super) const WORK_MS: Range<u64> = 1_000..5_000;

/// Kinds of trouble of this module, in the order in which they are drawn.
#[derive(Clone, Copy)]
enum Group {
    Agents,
    Planners,
    Links,
    Answers,
    Store,
    Minions,
}

impl Group {
    fn draw(self, rng: &mut Pcg32, agents: u8) -> (Kind, Range<u64>) {
        let agent = rng.random_range(0..agents);
        let entry = rng.random_range(0..ENTRIES);
        let variant = rng.random_range(0..3);
        let is_first = rng.random_bool(0.5);
        let delay = Duration::from_millis(rng.random_range(STORE_DELAY_MS));
        match self {
            Group::Agents => {
                // Minions with low numbers get most tasks.
                let agent = agent.min(rng.random_range(0..agents));
                if is_first {
                    let held = Duration::from_millis(rng.random_range(LONG_HELD_MS));
                    return (Kind::EndHeld(held), LONG_HELD_MS);
                }
                (Kind::AgentPaused(agent), HELD_MS)
            }
            Group::Planners => (Kind::PlannerPaused, HELD_MS),
            Group::Links => {
                let mode = [Mode::Silence, Mode::CutRequests, Mode::CutAnswers][variant];
                let scope = if is_first { Scope::All } else { Scope::Existing };
                (Kind::LinkSilent { agent, mode, scope }, HELD_MS)
            }
            Group::Answers => (Kind::AnswersLost(agent), LOST_MS),
            Group::Store if variant == 0 => (Kind::StoreLost(entry), STORE_MS),
            Group::Store => (Kind::StoreSlow { entry, delay }, STORE_MS),
            Group::Minions if is_first => (Kind::Refusing(agent), MINION_MS),
            Group::Minions => (Kind::Hanging(agent), MINION_MS),
        }
    }
}

impl Spells {
    /// Draws the spells of each kind that is enabled, in series and overlapping.
    pub(super) fn draw_hold_ups(
        &mut self,
        options: &Options,
        start: Duration,
        length: Duration,
        agents: u8,
    ) {
        let trouble = options.trouble;
        let groups = [
            (trouble.held_agents, Group::Agents),
            (trouble.held_planners, Group::Planners),
            (trouble.agent_links, Group::Links),
            (trouble.lost_answers, Group::Answers),
            (trouble.slow_store, Group::Store),
            (trouble.hanging, Group::Minions),
        ];
        let millis = Duration::from_millis;
        for (is_enabled, group) in groups {
            // A generator for each leaves the spells of one kind the same with and without others.
            let rng = &mut Pcg32::seed_from_u64(options.seed ^ 0x401d << 8 ^ group as u64);
            let interval =
                if matches!(group, Group::Planners) { PLANNER_INTERVAL_MS } else { INTERVAL_MS };
            let mut from = start;
            while is_enabled && from < start + length {
                from += millis(rng.random_range(interval.clone()));
                let (kind, held) = group.draw(rng, agents);
                let mut until = from + millis(rng.random_range(held.clone()));
                self.push(from, until, kind.clone());
                while rng.random_bool(SERIES_SHARE) {
                    let again = until + millis(rng.random_range(SERIES_MS));
                    until = again + millis(rng.random_range(held.clone()));
                    self.push(again, until, kind.clone());
                }
                if !rng.random_bool(OVERLAP_SHARE) {
                    from = until;
                }
            }
        }
    }

    pub(super) fn push(&mut self, from: Duration, until: Duration, kind: Kind) {
        self.spells.push(Spell { from, until, kind, is_begun: false });
    }

    /// Returns whether a minion neither carries out calls nor answers them.
    pub(super) fn hangs(&self, now: Duration, agent: u8) -> bool {
        self.present(now).any(|kind| *kind == Kind::Hanging(agent))
    }
}

impl Soak {
    /// Pauses the agent of a minion on which a run is about to end, now or as soon as there is one.
    pub(super) fn hold_end(&mut self, now: Duration, held: Duration) {
        let is_ending = |(task, active): (&Task, &Active)| {
            let truth = self.truth.get(&(task.job.clone(), task.step));
            truth.is_some_and(|it| it.members == 1 && active.progress + REMAINING >= it.work)
        };
        let mut minions = (0..).zip(&self.minions);
        let found = minions.find(|(_, minion)| minion.active.iter().any(is_ending));
        if let Some((agent, _)) = found {
            self.spells.end = self.spells.end.max(now + held);
            self.spells.push(now, now + held, Kind::AgentPaused(agent));
        } else if now < self.spells.end() {
            let from = now + RETRY_DELAY;
            self.spells.push(from, from + RETRY_DELAY, Kind::EndHeld(held));
        }
    }

    /// Records for how long disruptions by spells have gone on, apart from processes that are only
    /// stopped for a while.
    pub(super) fn record_disruptions(&mut self, now: Duration) {
        for kind in self.spells.present(now) {
            match kind {
                Kind::AgentPaused(_) | Kind::PlannerPaused | Kind::Withdrawals(_) => {
                    self.frozen_until = now;
                }
                Kind::Planners(_)
                | Kind::Operations
                | Kind::VmGone(_)
                | Kind::AgentDead { .. }
                | Kind::CutOff(_)
                | Kind::PlannerCut { .. }
                | Kind::SlowEntry { .. }
                | Kind::Power { .. }
                | Kind::LinkSilent { .. }
                | Kind::AnswersLost(_)
                | Kind::StoreSlow { .. }
                | Kind::StoreLost(_) => self.disrupted_until = self.disrupted_until.max(now),
                // Troubles of minions and callers don't count as disruptions.
                _ => {}
            }
        }
    }
}
