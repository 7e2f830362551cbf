//! Randomised runs under load and faults, drawn from a seed.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt as _;
use serde_json::json;

use crate::simulation::Simulation;

/// Rule file of the runs: two organisations with guarantees, two without.
pub const RULES: &str = "\
organisation review weight=3 priority=5 # Ines\n\
organisation office weight=2 priority=3 # Ines\n\
organisation archive # Rui\n\
organisation lenders # Rui\n\
guarantee review accelerators=8 tasks=2 adjacency=rack zone=norte-a # Ines\n\
guarantee office accelerators=4 tasks=1 adjacency=worker region=norte # Ines\n\
quota lenders accelerators=16 # Rui\n\
reclaim grace=1s # Rui\n";

/// Approximate mean time between two requests of the load.
const MEAN_LOAD_INTERVAL_MS: u64 = 250;
/// Time for which a run goes on without load and faults, in which all jobs and requests must end:
/// longer than any deadline, lease and retry delay.
const QUIET_PERIOD: Duration = Duration::from_secs(90);

/// Counts of what happened in a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of accepted jobs.
    pub accepted: u64,
    /// Number of accepted jobs by final state.
    pub ended: BTreeMap<String, u64>,
    /// Number of gangs that started.
    pub gangs: u64,
    /// Number of service requests by status of the answer.
    pub requests: BTreeMap<u16, u64>,
    /// Number of steps of virtual time.
    pub steps: u64,
}

impl Outcome {
    /// Adds the counts of another run.
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

/// What ends a fault.
enum Repair {
    StartEntry(String),
    StartAgent(String),
    /// Restarts the process even if it is still running, as after a drain that took too long.
    RestartEntry(String),
    RestartAgent(String),
    Store,
    Network,
    Worker(String),
}

struct Run {
    sim: Simulation,
    repairs: Vec<(Duration, Repair)>,
    outcome: Outcome,
    jobs: Vec<String>,
    requests: Vec<u64>,
    revision: u64,
    applies: Vec<u64>,
}

/// Runs two entries and two racks of workers under load and faults for `time`, then without both
/// until everything has ended, and checks that nothing was lost. With `is_recording`, a failed run
/// prints its trace.
///
/// # Panics
/// Panics when an invariant is violated.
pub fn run(seed: u64, time: Duration, is_recording: bool) -> Outcome {
    let mut sim = Simulation::region(seed, 2);
    sim.is_recording = is_recording;
    sim.bootstrap(RULES);
    let mut run = Run {
        sim,
        repairs: Vec::new(),
        outcome: Outcome::default(),
        jobs: Vec::new(),
        requests: Vec::new(),
        revision: 1,
        applies: Vec::new(),
    };
    let begin = run.sim.now;
    while run.sim.now < begin + time {
        let wait = run.sim.rng.random_range(10..MEAN_LOAD_INTERVAL_MS * 2);
        run.sim.run(Duration::from_millis(wait));
        run.repair_due();
        run.load();
        if run.sim.chance(120) {
            run.fault();
        }
    }
    run.repair_all();
    run.sim.run(QUIET_PERIOD);
    run.finish()
}

impl Run {
    fn entry(&mut self) -> String {
        if self.sim.chance(500) { "e1".into() } else { "e2".into() }
    }

    fn agent(&mut self) -> String {
        format!("a{}", self.sim.rng.random_range(1..=6))
    }

    fn load(&mut self) {
        match self.sim.rng.random_range(0..10) {
            0..=3 => self.submit(),
            4 => self.cancel(),
            5 if self.sim.chance(300) => self.apply(),
            _ => self.request(),
        }
    }

    fn submit(&mut self) {
        let organisations = ["review", "office", "archive", "lenders"];
        let organisation = organisations[self.sim.rng.random_range(0..4)];
        let (accelerators, tasks, adjacency) = match (organisation, self.sim.rng.random_range(0..4))
        {
            ("review", 0..=1) => (8, 2, "rack"),
            ("office", 0..=2) => (4, 1, "worker"),
            (_, 0) => (8, 3, "rack"),
            (_, 1) => (2, 4, "zone"),
            (_, 2) => (1, 1, "worker"),
            _ => (4, 2, "zone"),
        };
        let millis = self.sim.rng.random_range(50..6_000);
        let command =
            if self.sim.chance(50) { "exit 3".into() } else { format!("sleep {millis}ms") };
        let key = format!("k{}", self.jobs.len());
        let job = json!({
            "organisation": organisation,
            "shape": { "accelerators": accelerators, "tasks": tasks, "adjacency": adjacency },
            "command": command,
            "idempotent": self.sim.chance(600),
            "urgent": self.sim.chance(100),
            "key": key,
        });
        self.jobs.push(format!("norte.{organisation}.{key}"));
        let at = self.entry();
        self.sim.submit(&at, &job);
        if self.sim.chance(150) {
            let other = self.entry();
            self.sim.submit(&other, &job);
        }
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let index = self.sim.rng.random_range(0..self.jobs.len());
        let path = format!("/v1/jobs/{}", self.jobs[index]);
        let at = self.entry();
        self.sim.call(&at, "DELETE", &path);
    }

    fn apply(&mut self) {
        let grace = self.sim.rng.random_range(1..4);
        let rules = RULES.replace("grace=1s", &format!("grace={grace}s"));
        let at = self.entry();
        let known = self.sim.entries[&at].machine.as_ref().map(|m| m.rulebook().revision());
        let caller = self.sim.apply(&at, known.unwrap_or(0), &rules);
        self.applies.push(caller);
    }

    fn request(&mut self) {
        let at = self.entry();
        let body = format!("request-{}", self.requests.len());
        let is_idempotent = self.sim.chance(500);
        let caller = self.sim.request(&at, &body, is_idempotent);
        self.requests.push(caller);
    }

    fn count(&mut self, kind: &'static str) {
        *self.outcome.faults.entry(kind).or_default() += 1;
    }

    fn repair_after(&mut self, min_ms: u64, max_ms: u64, repair: Repair) {
        let wait = Duration::from_millis(self.sim.rng.random_range(min_ms..max_ms));
        self.repairs.push((self.sim.now + wait, repair));
    }

    fn fault(&mut self) {
        match self.sim.rng.random_range(0..16) {
            0 => {
                self.count("entry killed");
                let name = self.entry();
                self.sim.kill_entry(&name);
                self.repair_after(100, 6_000, Repair::StartEntry(name));
            }
            1 => {
                self.count("agent killed");
                let name = self.agent();
                self.sim.kill_agent(&name);
                self.repair_after(100, 15_000, Repair::StartAgent(name));
            }
            2 => {
                self.count("VM lost");
                let name = self.agent();
                self.sim.kill_vm(&name);
                self.repair_after(1_000, 15_000, Repair::StartAgent(name));
            }
            3 => {
                self.count("process frozen");
                let name = if self.sim.chance(400) { self.entry() } else { self.agent() };
                let millis = self.sim.rng.random_range(100..9_000);
                self.sim.pause(&name, Duration::from_millis(millis));
            }
            4 => {
                self.count("network cut");
                let (left, right) = (self.agent(), self.agent());
                self.sim.network.partitions.push((left, right));
                self.repair_after(200, 9_000, Repair::Network);
            }
            5 => {
                self.count("zone cut");
                self.sim.network.partitions.push(("norte-a".into(), "norte-b".into()));
                self.repair_after(200, 9_000, Repair::Network);
            }
            6 => {
                self.count("entry cut off");
                let (left, right) = (self.entry(), self.agent());
                self.sim.network.partitions.push((left, right));
                self.repair_after(200, 9_000, Repair::Network);
            }
            7 => {
                self.count("network noise");
                self.sim.network.lost = 50;
                self.sim.network.duplicated = 50;
                self.sim.network.jitter = Duration::from_millis(400);
                self.repair_after(1_000, 9_000, Repair::Network);
            }
            8 => {
                self.count("store out");
                self.sim.store_faults.is_down = true;
                self.repair_after(500, 12_000, Repair::Store);
            }
            9 => {
                self.count("store answers lost or slow");
                self.sim.store_faults.lost_answers = 300;
                self.sim.store_faults.extra_delay = Duration::from_millis(200);
                self.repair_after(500, 9_000, Repair::Store);
            }
            10 => {
                self.count("all entries killed");
                for name in ["e1", "e2"] {
                    self.sim.kill_entry(name);
                    self.repair_after(100, 4_000, Repair::StartEntry(name.to_owned()));
                }
            }
            11 => {
                self.count("entry drained");
                let name = self.entry();
                self.sim.drain(&name);
                self.repair_after(6_000, 12_000, Repair::RestartEntry(name));
            }
            12 => {
                self.count("agent drained");
                let name = self.agent();
                self.sim.drain(&name);
                self.repair_after(8_000, 20_000, Repair::RestartAgent(name));
            }
            13 => {
                self.count("store cut off from one entry");
                let name = self.entry();
                self.sim.store_faults.cut_off.push(name);
                self.repair_after(500, 12_000, Repair::Store);
            }
            14 => {
                self.count("worker broken");
                let name = self.agent();
                if let Some(host) = self.sim.agents.get_mut(&name) {
                    host.worker.fails_tasks = true;
                }
                self.repair_after(500, 9_000, Repair::Worker(name));
            }
            _ => {
                self.count("worker deaf");
                let name = self.agent();
                if let Some(host) = self.sim.agents.get_mut(&name) {
                    host.worker.ignores_stops = true;
                }
                self.repair_after(500, 9_000, Repair::Worker(name));
            }
        }
    }

    fn repair_due(&mut self) {
        let now = self.sim.now;
        let due = self.repairs.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Repair> = due.map(|(_, repair)| repair).collect();
        due.into_iter().for_each(|repair| self.repair(repair));
    }

    fn repair_all(&mut self) {
        let repairs = std::mem::take(&mut self.repairs);
        repairs.into_iter().for_each(|(_, repair)| self.repair(repair));
    }

    fn repair(&mut self, repair: Repair) {
        match repair {
            Repair::StartEntry(name) => {
                if self.sim.entries[&name].machine.is_none() {
                    self.sim.start_entry(&name);
                }
            }
            Repair::StartAgent(name) => {
                if self.sim.agents[&name].process.machine.is_none() {
                    self.sim.start_agent(&name);
                }
            }
            Repair::RestartEntry(name) => self.sim.start_entry(&name),
            Repair::RestartAgent(name) => self.sim.start_agent(&name),
            Repair::Store => self.sim.store_faults = Default::default(),
            Repair::Network => self.sim.network = Default::default(),
            Repair::Worker(name) => {
                if let Some(host) = self.sim.agents.get_mut(&name) {
                    host.worker.ignores_stops = false;
                    host.worker.fails_tasks = false;
                }
            }
        }
    }

    /// Checks the final state: every caller has its answer, every accepted job has ended, and no
    /// resources are in use.
    fn finish(mut self) -> Outcome {
        let waiting = self.sim.waiting_callers();
        assert!(waiting.is_empty(), "callers without an answer: {waiting:?}");
        let planner = self.sim.planner("norte").expect("one entry plans");
        let machine = self.sim.entries[&planner].machine.as_ref().expect("the planner runs");
        let jobs = machine.planner().expect("this entry plans").jobs().clone();
        for id in &self.sim.check.accepted {
            let job = jobs.get(id).unwrap_or_else(|| panic!("accepted job {id} was lost"));
            let state = sapphire_entry::view::job_state(job.state());
            let is_ended = sapphire_entry::view::is_ended(job.state());
            assert!(is_ended, "accepted job {id} has not ended: {job:?}");
            *self.outcome.ended.entry(state.to_owned()).or_default() += 1;
        }
        for (name, host) in &self.sim.agents {
            assert_eq!(host.worker.in_use(), 0, "{name} still runs something");
            let load = host.process.machine.as_ref().expect("every process runs again").load();
            assert_eq!(
                (load.free_accelerators, load.free_slots),
                (8, 16),
                "{name} leaks resources"
            );
        }
        for caller in &self.requests {
            if let Some((_, answer)) = self.sim.answers.get(caller) {
                *self.outcome.requests.entry(answer.status).or_default() += 1;
            }
        }
        self.assert_rules_everywhere(&planner);
        self.outcome.accepted = self.sim.check.accepted.len() as u64;
        self.outcome.gangs = self.sim.check.gangs_started;
        let elapsed = self.sim.now.saturating_sub(crate::simulation::START);
        self.outcome.steps = (elapsed.as_millis() / crate::simulation::STEP.as_millis()) as u64;
        self.outcome
    }

    /// Checks that the newest accepted rules are in force in every process.
    fn assert_rules_everywhere(&mut self, planner: &str) {
        for caller in &self.applies {
            if let Some((200, value)) = self.sim.answer(*caller) {
                self.revision = self.revision.max(value["revision"].as_u64().unwrap_or(0));
            }
        }
        let machine =
            |name: &str| self.sim.entries[name].machine.as_ref().expect("every process runs again");
        let current = machine(planner).rulebook().revision();
        assert!(current >= self.revision, "accepted rules {} are not in force", self.revision);
        for name in self.sim.entries.keys() {
            assert_eq!(machine(name).rulebook().revision(), current, "{name} has old rules");
        }
        for (name, host) in &self.sim.agents {
            let applied =
                host.process.machine.as_ref().expect("every process runs again").applied();
            assert_eq!(applied.rules, current, "{name} has old rules");
        }
    }
}
