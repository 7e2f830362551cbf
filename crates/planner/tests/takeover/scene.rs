//! Changes of planners while a worker is silent.

use sapphire_jobs::{Step, resources::Resources};
use sapphire_planner::keys;

use super::earlier;
use crate::{
    handover::world::{Outcome, World},
    harness::{minion, step},
};

/// Time for which a planner may go on without a lease on the leader key.
const MAX_STORE_OUTAGE: u64 = 5_000;
/// Time after a poll at which the lease that it was granted has certainly expired.
const LEASE: u64 = 6_120;
/// Time after the start of a term in which work that no earlier run holds up begins.
pub(super) const PROMPT: u64 = 1_000;
/// Time after the last sign of life of a silent worker in which its work begins elsewhere: its lease,
/// the longest outage in which an earlier planner may have granted another one, and the time in which
/// other work begins.
pub(super) const SILENT_BOUND: u64 = 6_420 + 5_000 + 1_500;
/// Time after the latest change of planners for which work may stand still in any case.
pub(super) const CALM_BOUND: u64 = 4_000 + 3_000;
/// Time that a run on the silent worker takes.
pub(super) const LONG_RUN: u64 = 60_000;
/// Time for which writes of the handover record before a start have another outcome.
const FAULTY_WRITES: u64 = 300;
/// Longer than any start of an earlier term counts.
pub(super) const LONG_ENOUGH: u64 = 45_000;

/// How a worker falls silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Silence {
    /// Its agent and its minion live on.
    CutOff,
    /// Its minion lives on.
    AgentLost,
    /// Both are gone, with all that ran there.
    Gone,
}

pub(super) const SILENCES: [Silence; 3] = [Silence::CutOff, Silence::AgentLost, Silence::Gone];

/// What a successor finds of the records of its predecessor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Found {
    All,
    /// What a planner of an earlier version writes.
    Earlier,
    /// No handover record.
    Missing,
    /// A handover record that can't be decoded.
    Undecodable,
}

/// A world with idle workers, and one that runs task 0 of job `j` for long.
pub(super) struct Scene {
    pub(super) world: World,
    /// The worker that runs the task and falls silent.
    pub(super) silent: String,
    /// Time of its latest poll.
    pub(super) heard_at: u64,
    /// Time at which its lease expires.
    pub(super) lease_until: u64,
    /// Time at which the latest term began.
    pub(super) began_at: u64,
}

/// Returns a step of tasks that each take a whole worker.
pub(super) fn whole(tasks: u32) -> Step {
    let room = Resources::read(minion("a").capacity.as_ref());
    Step { room: Some(room.message()), ..step(tasks, false) }
}

impl Scene {
    /// Returns a scene in which the task has just been started.
    pub(super) fn new() -> Self {
        Scene::with(Outcome::Answered(10))
    }

    /// The same with this outcome of the first writes of the handover record that contain the task.
    pub(super) fn with(outcome: Outcome) -> Self {
        let mut scene = Scene::idle();
        scene.world.record_outcome = outcome;
        scene.submit_long("j", &step(1, false));
        scene.world.run_until_sent("j", FAULTY_WRITES);
        scene.world.record_outcome = Outcome::Answered(10);
        scene.await_start("j");
        scene
    }

    /// Returns a scene without any job.
    pub(super) fn idle() -> Self {
        let world = World::new(&["a", "b", "c", "d"]);
        let now = world.now;
        Scene { world, silent: String::new(), heard_at: now, lease_until: now, began_at: now }
    }

    /// Submits a job whose tasks take long.
    pub(super) fn submit_long(&mut self, id: &str, step: &Step) {
        self.world.run_times.insert(id.to_owned(), LONG_RUN);
        self.world.submit(id, &Step { estimate_ms: LONG_RUN, ..step.clone() });
    }

    /// Runs until the first task of a job is started. Its worker is the one that falls silent.
    fn await_start(&mut self, id: &str) {
        self.world.run_until_sent(id, 5_000);
        let found = self.world.starts.iter().find(|(_, run, _)| run.job == id && run.index == 0);
        let found = found.map(|(_, _, worker)| worker.clone());
        self.silent = found.unwrap_or_else(|| panic!("{id} is not started\n{}", self.history()));
    }

    /// Submits a job whose tasks take long, and runs until the first of them is started.
    pub(super) fn run_for_long(&mut self, id: &str, step: &Step) {
        self.submit_long(id, step);
        self.await_start(id);
    }

    /// Lets the worker fall silent.
    pub(super) fn silence(&mut self, how: Silence) {
        let name = self.silent.clone();
        self.heard_at = self.world.heard_at(&name);
        self.lease_until = self.world.lease_until(&name);
        match how {
            Silence::CutOff => self.world.cut_off(&name),
            Silence::AgentLost => self.world.lose_agent(&name),
            Silence::Gone => self.world.lose_worker(&name),
        }
    }

    /// Lets the worker fall silent towards the next planner, which begins now, while it hears of the
    /// present one. That one goes on for as long as it may without a lease on the leader key.
    pub(super) fn silence_by_isolation(&mut self) {
        let name = self.silent.clone();
        self.heard_at = self.world.heard_at(&name);
        self.world.cut_off(&name);
        self.world.prolong_lease(&name, self.world.now + MAX_STORE_OUTAGE + LEASE);
        self.lease_until = self.world.lease_until(&name);
    }

    /// Begins the next term, whose planner finds these records.
    pub(super) fn take_over(&mut self, found: Found) {
        let world = &mut self.world;
        match found {
            Found::All => {}
            Found::Earlier => earlier::rewrite(world),
            Found::Missing => world.items.retain(|key, _| !key.starts_with(keys::UNANSWERED)),
            Found::Undecodable => world.write(keys::UNANSWERED, vec![0xff; 4]),
        }
        self.began_at = world.now;
        world.take_over();
    }

    /// Loses the planner and lets another one serve for some time, as often as given.
    pub(super) fn change_planners(&mut self, changes: usize, apart: u64, found: Found) {
        for change in 0..changes {
            self.world.lose_planner();
            self.take_over(found);
            if change + 1 < changes {
                self.world.run(apart);
            }
        }
    }

    /// Returns the times and workers of the starts of a task, `job/occurrence/step/index`.
    pub(super) fn starts_of(&self, task: &str) -> Vec<(u64, String)> {
        let is_it = |run: &sapphire_jobs::Run| {
            format!("{}/{}/{}/{}", run.job, run.occurrence, run.step, run.index) == task
        };
        let starts = self.world.starts.iter().filter(|(_, run, _)| is_it(run));
        starts.map(|(at, _, worker)| (*at, worker.clone())).collect()
    }

    /// Asserts that a task is started under the present planner, this long after a given time.
    pub(super) fn assert_started(&mut self, task: &str, from: u64, bound: u64) {
        let until = (from + bound).max(self.world.now);
        self.world.run(until + LONG_ENOUGH - self.world.now);
        let began_at = self.began_at;
        let first = self.starts_of(task).into_iter().find(|(at, _)| *at >= began_at);
        let after = first.as_ref().map(|(at, _)| at - from);
        assert!(
            after.is_some_and(|after| after <= bound),
            "{task} is started after {after:?} ms of {bound}\n{}",
            self.history()
        );
        self.assert_no_conflict();
    }

    /// Asserts that task 0 of job `j` is started elsewhere, but not before the lease of the silent worker
    /// has expired.
    pub(super) fn assert_held(&mut self, case: &str) {
        let from = self.world.now;
        self.world.run(LONG_ENOUGH);
        self.assert_no_conflict();
        self.assert_none_early("j/0/0/0", case);
        let is_moved = self.starts_of("j/0/0/0").iter().any(|(_, worker)| *worker != self.silent);
        assert!(is_moved, "{case}: waits since {from}\n{}", self.history());
    }

    /// Asserts that a task is not started elsewhere after its first start, before the lease of the silent
    /// worker has expired.
    pub(super) fn assert_none_early(&self, task: &str, case: &str) {
        let is_early =
            |(at, worker): &&(u64, String)| *at < self.lease_until && *worker != self.silent;
        let starts = self.starts_of(task);
        let early = starts.iter().skip(1).find(is_early);
        assert!(early.is_none(), "{case}: {task}: {early:?}\n{}", self.history());
    }

    pub(super) fn assert_no_conflict(&self) {
        let conflicts = &self.world.conflicts;
        assert!(conflicts.is_empty(), "{conflicts:#?}\n{}", self.history());
    }

    pub(super) fn history(&self) -> String {
        self.world.history.join("\n")
    }
}
