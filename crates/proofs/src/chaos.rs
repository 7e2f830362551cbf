//! Seeded runs of load and faults.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt as _;
use serde_json::json;

use crate::world::World;

/// Rules of the runs: two organisations with guarantees, two without.
pub const RULES: &str = "\
organisation review weight=3 priority=5 # Ines\n\
organisation office weight=2 priority=3 # Ines\n\
organisation archive # Rui\n\
organisation lenders # Rui\n\
guarantee review accelerators=8 tasks=2 adjacency=rack zone=norte-a # Ines\n\
guarantee office accelerators=4 tasks=1 adjacency=worker region=norte # Ines\n\
quota lenders accelerators=16 # Rui\n\
reclaim grace=1s # Rui\n";

/// Mean time between two events of load.
const LOAD_EVERY_MS: u64 = 250;
/// Time for everything to end once all faults are over: beyond any deadline, lease and retry.
const QUIET: Duration = Duration::from_secs(90);

/// What a run did.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs by their end.
    pub ended: BTreeMap<String, u64>,
    /// Gangs that started.
    pub gangs: u64,
    /// Requests by status.
    pub requests: BTreeMap<u16, u64>,
    /// Steps of virtual time.
    pub steps: u64,
}

impl Outcome {
    /// Adds another run's figures.
    pub fn add(&mut self, other: &Outcome) {
        self.accepted += other.accepted;
        self.gangs += other.gangs;
        self.steps += other.steps;
        for (kind, count) in &other.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        for (state, count) in &other.ended {
            *self.ended.entry(state.clone()).or_default() += count;
        }
        for (status, count) in &other.requests {
            *self.requests.entry(*status).or_default() += count;
        }
    }
}

/// What puts a fault right.
enum Mend {
    StartEntry(String),
    StartAgent(String),
    /// Started again in any case, as after a drain that took too long.
    RestartEntry(String),
    RestartAgent(String),
    Store,
    Network,
    Worker(String),
}

struct Run {
    world: World,
    mends: Vec<(Duration, Mend)>,
    outcome: Outcome,
    jobs: Vec<String>,
    requests: Vec<u64>,
    revision: u64,
    applies: Vec<u64>,
}

/// Runs a world of two entries and two racks under load and faults, then without faults until
/// all is quiet, and checks that nothing was lost. With `is_recording`, a failed run prints its
/// story.
///
/// # Panics
/// When anything that must hold does not.
pub fn run(seed: u64, time: Duration, is_recording: bool) -> Outcome {
    let mut world = World::region(seed, 2);
    world.is_recording = is_recording;
    world.settle(RULES);
    let mut run = Run {
        world,
        mends: Vec::new(),
        outcome: Outcome::default(),
        jobs: Vec::new(),
        requests: Vec::new(),
        revision: 1,
        applies: Vec::new(),
    };
    let begin = run.world.now;
    while run.world.now < begin + time {
        let wait = run.world.rng.random_range(10..LOAD_EVERY_MS * 2);
        run.world.run(Duration::from_millis(wait));
        run.mend_due();
        run.load();
        if run.world.chance(120) {
            run.fault();
        }
    }
    run.mend_all();
    run.world.run(QUIET);
    run.finish()
}

impl Run {
    fn entry(&mut self) -> String {
        if self.world.chance(500) { "e1".into() } else { "e2".into() }
    }

    fn agent(&mut self) -> String {
        format!("a{}", self.world.rng.random_range(1..=6))
    }

    fn load(&mut self) {
        match self.world.rng.random_range(0..10) {
            0..=3 => self.submit(),
            4 => self.cancel(),
            5 if self.world.chance(300) => self.apply(),
            _ => self.request(),
        }
    }

    fn submit(&mut self) {
        let organisations = ["review", "office", "archive", "lenders"];
        let organisation = organisations[self.world.rng.random_range(0..4)];
        let (accelerators, tasks, adjacency) =
            match (organisation, self.world.rng.random_range(0..4)) {
                ("review", 0..=1) => (8, 2, "rack"),
                ("office", 0..=2) => (4, 1, "worker"),
                (_, 0) => (8, 3, "rack"),
                (_, 1) => (2, 4, "zone"),
                (_, 2) => (1, 1, "worker"),
                _ => (4, 2, "zone"),
            };
        let millis = self.world.rng.random_range(50..6_000);
        let command =
            if self.world.chance(50) { "exit 3".into() } else { format!("sleep {millis}ms") };
        let key = format!("k{}", self.jobs.len());
        let job = json!({
            "organisation": organisation,
            "shape": { "accelerators": accelerators, "tasks": tasks, "adjacency": adjacency },
            "command": command,
            "idempotent": self.world.chance(600),
            "urgent": self.world.chance(100),
            "key": key,
        });
        self.jobs.push(format!("norte.{organisation}.{key}"));
        let at = self.entry();
        self.world.submit(&at, &job);
        if self.world.chance(150) {
            let other = self.entry();
            self.world.submit(&other, &job);
        }
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let index = self.world.rng.random_range(0..self.jobs.len());
        let path = format!("/v1/jobs/{}", self.jobs[index]);
        let at = self.entry();
        self.world.call(&at, "DELETE", &path);
    }

    fn apply(&mut self) {
        let grace = self.world.rng.random_range(1..4);
        let rules = RULES.replace("grace=1s", &format!("grace={grace}s"));
        let at = self.entry();
        let known = self.world.entries[&at].machine.as_ref().map(|m| m.rulebook().revision());
        let caller = self.world.apply(&at, known.unwrap_or(0), &rules);
        self.applies.push(caller);
    }

    fn request(&mut self) {
        let at = self.entry();
        let body = format!("request-{}", self.requests.len());
        let is_idempotent = self.world.chance(500);
        let caller = self.world.request(&at, &body, is_idempotent);
        self.requests.push(caller);
    }

    fn count(&mut self, kind: &'static str) {
        *self.outcome.faults.entry(kind).or_default() += 1;
    }

    fn mend_in(&mut self, least_ms: u64, most_ms: u64, mend: Mend) {
        let wait = Duration::from_millis(self.world.rng.random_range(least_ms..most_ms));
        self.mends.push((self.world.now + wait, mend));
    }

    fn fault(&mut self) {
        match self.world.rng.random_range(0..16) {
            0 => {
                self.count("entry killed");
                let name = self.entry();
                self.world.kill_entry(&name);
                self.mend_in(100, 6_000, Mend::StartEntry(name));
            }
            1 => {
                self.count("agent killed");
                let name = self.agent();
                self.world.kill_agent(&name);
                self.mend_in(100, 15_000, Mend::StartAgent(name));
            }
            2 => {
                self.count("VM lost");
                let name = self.agent();
                self.world.kill_vm(&name);
                self.mend_in(1_000, 15_000, Mend::StartAgent(name));
            }
            3 => {
                self.count("process frozen");
                let name = if self.world.chance(400) { self.entry() } else { self.agent() };
                let millis = self.world.rng.random_range(100..9_000);
                self.world.pause(&name, Duration::from_millis(millis));
            }
            4 => {
                self.count("network cut");
                let (left, right) = (self.agent(), self.agent());
                self.world.network.cuts.push((left, right));
                self.mend_in(200, 9_000, Mend::Network);
            }
            5 => {
                self.count("zone cut");
                self.world.network.cuts.push(("norte-a".into(), "norte-b".into()));
                self.mend_in(200, 9_000, Mend::Network);
            }
            6 => {
                self.count("entry cut off");
                let (left, right) = (self.entry(), self.agent());
                self.world.network.cuts.push((left, right));
                self.mend_in(200, 9_000, Mend::Network);
            }
            7 => {
                self.count("network noise");
                self.world.network.lost = 50;
                self.world.network.doubled = 50;
                self.world.network.jitter = Duration::from_millis(400);
                self.mend_in(1_000, 9_000, Mend::Network);
            }
            8 => {
                self.count("store out");
                self.world.store_faults.is_down = true;
                self.mend_in(500, 12_000, Mend::Store);
            }
            9 => {
                self.count("store answers lost or slow");
                self.world.store_faults.lost_answers = 300;
                self.world.store_faults.slow = Duration::from_millis(200);
                self.mend_in(500, 9_000, Mend::Store);
            }
            10 => {
                self.count("all entries killed");
                for name in ["e1", "e2"] {
                    self.world.kill_entry(name);
                    self.mend_in(100, 4_000, Mend::StartEntry(name.to_owned()));
                }
            }
            11 => {
                self.count("entry drained");
                let name = self.entry();
                self.world.drain(&name);
                self.mend_in(6_000, 12_000, Mend::RestartEntry(name));
            }
            12 => {
                self.count("agent drained");
                let name = self.agent();
                self.world.drain(&name);
                self.mend_in(8_000, 20_000, Mend::RestartAgent(name));
            }
            13 => {
                self.count("store cut off from one entry");
                let name = self.entry();
                self.world.store_faults.cut_off.push(name);
                self.mend_in(500, 12_000, Mend::Store);
            }
            14 => {
                self.count("worker broken");
                let name = self.agent();
                if let Some(guarded) = self.world.agents.get_mut(&name) {
                    guarded.worker.is_broken = true;
                }
                self.mend_in(500, 9_000, Mend::Worker(name));
            }
            _ => {
                self.count("worker deaf");
                let name = self.agent();
                if let Some(guarded) = self.world.agents.get_mut(&name) {
                    guarded.worker.is_deaf = true;
                }
                self.mend_in(500, 9_000, Mend::Worker(name));
            }
        }
    }

    fn mend_due(&mut self) {
        let now = self.world.now;
        let due = self.mends.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Mend> = due.map(|(_, mend)| mend).collect();
        due.into_iter().for_each(|mend| self.mend(mend));
    }

    fn mend_all(&mut self) {
        let mends = std::mem::take(&mut self.mends);
        mends.into_iter().for_each(|(_, mend)| self.mend(mend));
    }

    fn mend(&mut self, mend: Mend) {
        match mend {
            Mend::StartEntry(name) => {
                if self.world.entries[&name].machine.is_none() {
                    self.world.start_entry(&name);
                }
            }
            Mend::StartAgent(name) => {
                if self.world.agents[&name].process.machine.is_none() {
                    self.world.start_agent(&name);
                }
            }
            Mend::RestartEntry(name) => self.world.start_entry(&name),
            Mend::RestartAgent(name) => self.world.start_agent(&name),
            Mend::Store => self.world.store_faults = Default::default(),
            Mend::Network => self.world.network = Default::default(),
            Mend::Worker(name) => {
                if let Some(guarded) = self.world.agents.get_mut(&name) {
                    guarded.worker.is_deaf = false;
                    guarded.worker.is_broken = false;
                }
            }
        }
    }

    /// Everything is quiet: every caller has its answer, every accepted job its end.
    fn finish(mut self) -> Outcome {
        let waiting = self.world.waiting_callers();
        assert!(waiting.is_empty(), "callers without an answer: {waiting:?}");
        let planner = self.world.planner("norte").expect("one entry plans");
        let machine = self.world.entries[&planner].machine.as_ref().expect("it runs");
        let jobs = machine.planner().expect("it plans").jobs().clone();
        for id in &self.world.check.accepted {
            let job = jobs.get(id).unwrap_or_else(|| panic!("accepted job {id} was lost"));
            let state = sapphire_entry::view::job_state(job.state());
            let is_ended = sapphire_entry::view::is_ended(job.state());
            assert!(is_ended, "accepted job {id} has not ended: {job:?}");
            *self.outcome.ended.entry(state.to_owned()).or_default() += 1;
        }
        for (name, guarded) in &self.world.agents {
            assert_eq!(guarded.worker.in_use(), 0, "{name} still runs something");
            let load = guarded.process.machine.as_ref().expect("all run again").load();
            assert_eq!((load.free_accelerators, load.free_slots), (8, 16), "{name} leaks room");
        }
        for caller in &self.requests {
            if let Some((_, answer)) = self.world.answers.get(caller) {
                *self.outcome.requests.entry(answer.status).or_default() += 1;
            }
        }
        self.assert_rules_everywhere(&planner);
        self.outcome.accepted = self.world.check.accepted.len() as u64;
        self.outcome.gangs = self.world.check.gangs_started;
        let elapsed = self.world.now.saturating_sub(crate::world::BEGIN);
        self.outcome.steps = (elapsed.as_millis() / crate::world::STEP.as_millis()) as u64;
        self.outcome
    }

    /// The newest accepted rules are in force in every process.
    fn assert_rules_everywhere(&mut self, planner: &str) {
        for caller in &self.applies {
            if let Some((200, value)) = self.world.answer(*caller) {
                self.revision = self.revision.max(value["revision"].as_u64().unwrap_or(0));
            }
        }
        let machine =
            |name: &str| self.world.entries[name].machine.as_ref().expect("all run again");
        let current = machine(planner).rulebook().revision();
        assert!(current >= self.revision, "accepted rules {} are not in force", self.revision);
        for name in self.world.entries.keys() {
            assert_eq!(machine(name).rulebook().revision(), current, "{name} has old rules");
        }
        for (name, guarded) in &self.world.agents {
            let applied = guarded.process.machine.as_ref().expect("all run again").applied();
            assert_eq!(applied.rules, current, "{name} has old rules");
        }
    }
}
