//! Tests of a lease that ends by the planner's account while its run is about to be done, or is done: once
//! the minion has listed that end in time, no further run of the task begins. One planner serves all the
//! while.

use std::fmt::Write as _;

use sapphire_jobs::{Step, task::Task};

use crate::{
    harness::step,
    presence::site::{Bounds, Conduct, Site, Worker, Writes},
};

mod agents;
mod minions;
mod store;

/// Bounds of all deployments, and with a shorter lease than is granted.
const BOUNDS: [Bounds; 3] = [
    Bounds { granted: 3_600, longest: 6_000, calls_outlive_incarnations: false },
    Bounds { granted: 5_400, longest: 6_000, calls_outlive_incarnations: false },
    Bounds { granted: 6_000, longest: 10_000, calls_outlive_incarnations: false },
];
/// Time from the start of the task to the first disruption.
const CALM: u64 = 60;
/// Time that a worker has to report after a disruption, below that of a poll.
const SHORT: u64 = 150;
/// Time from the end of the task to the end of the lease of its start.
const LEFT: u64 = 190;
/// The same where the minion gets no later lease than that of its start.
const LONG_LEFT: u64 = 500;

/// A site on which the task of a job runs.
struct Scene {
    site: Site,
    name: &'static str,
    began: u64,
    run_time: u64,
}

/// An order of events, with its name.
type Play = (&'static str, fn(&mut Scene));

impl Scene {
    fn new(bounds: Bounds, run_time: u64) -> Self {
        let mut site = Site::with_bounds(&["a", "b"], run_time, bounds);
        for name in ["a", "b"] {
            site.program(name).checkpoint_time = Some(1_500);
        }
        site.submit("j", Step { estimate_ms: run_time, checkpoints: true, ..step(1, false) });
        site.run_until_started("j", 500).expect("it starts");
        let (name, began) = (site.runs_on("j"), site.now);
        let mut scene = Scene { site, name, began, run_time };
        scene.until(CALM);
        scene
    }

    /// Lets time pass until this time after the start of the task.
    fn until(&mut self, time: u64) {
        self.site.run((self.began + time).saturating_sub(self.site.now));
    }

    /// Time after the start of the task at which the lease of its start has certainly ended.
    fn expiry(&self) -> u64 {
        self.site.bounds.bound()
    }

    fn worker(&mut self) -> &mut Worker {
        self.site.workers.get_mut(self.name).expect("it is known")
    }

    fn conduct(&mut self, conduct: Conduct) {
        self.site.program(self.name).conduct = conduct;
    }

    /// The minion meets calls so until this time.
    fn conduct_until(&mut self, conduct: Conduct, time: u64) {
        self.conduct(conduct);
        self.until(time);
        self.conduct(Conduct::Answers);
    }

    /// The agent and the planner are cut off from one another until this time.
    fn cut_until(&mut self, time: u64) {
        self.worker().is_cut_off = true;
        self.until(time);
        self.worker().is_cut_off = false;
    }

    fn pause_until(&mut self, time: u64) {
        self.worker().is_paused = true;
        self.until(time);
        self.site.resume(self.name);
    }

    /// The agent is cut off until this time, and then in contact until a list with a checkpoint has
    /// arrived, and for this time after it.
    fn contact_after(&mut self, time: u64, length: u64) {
        self.cut_until(time);
        let until = self.site.now + 1_300;
        while self.site.workers[self.name].saved_heard_at < self.began && self.site.now < until {
            self.site.run(10);
        }
        self.site.run(length);
    }

    /// Two cuts with a contact between them. The second one outlasts the lease.
    fn cut_twice(&mut self, writes: Writes, length: u64) {
        self.site.writes = writes;
        self.contact_after(1_600, length);
        self.cut_until(self.expiry() + SHORT);
    }
}

/// Plays orders of events under the bounds of all deployments. Returns a table of what has come of them, and
/// the orders in which a rule is broken. Times count from the start of the first run.
fn play(plays: &[Play], left: u64) -> (String, Vec<String>) {
    let mut table =
        "order | lease | done | listed | lapsed | last poll with a lease | last list with a \
                     checkpoint | lost | run 2 | resumed | stopped | broken | excepted\n"
            .to_owned();
    let mut broken = Vec::new();
    for bounds in BOUNDS {
        for (name, play) in plays {
            let mut scene = Scene::new(bounds, bounds.granted - left);
            play(&mut scene);
            scene.until(2 * scene.expiry() + 4_000);
            let rules = broken_rules(&scene.site);
            table += &row(&scene, name, rules);
            if rules.0 > 0 {
                broken.push(format!("{name}, lease {}", bounds.granted));
            }
        }
    }
    println!("{table}");
    (table, broken)
}

/// Asserts that in none of these orders of events a task starts again whose end counts, or runs twice.
fn assert_kept(plays: &[Play], left: u64) {
    let (table, broken) = play(plays, left);
    assert!(broken.is_empty(), "{broken:#?}\n{table}");
}

/// Returns how many runs begin although another one of their task runs, or was done and its end counts;
/// and how many after an end that was listed too late to count.
fn broken_rules(site: &Site) -> (usize, usize) {
    let (mut broken, mut excepted) = (site.twice.len(), 0);
    for done in &site.done {
        let is_again = |(at, _, run): &&(u64, &str, sapphire_jobs::Run)| {
            let is_same_task = Task::read(run) == Task::read(&done.run);
            is_same_task && run.run != done.run.run && *at >= done.at
        };
        let again = site.starts.iter().filter(is_again).count();
        *(if done.is_noted() { &mut broken } else { &mut excepted }) += again;
    }
    (broken, excepted)
}

/// Returns the row of the table on a scene that was played.
fn row(scene: &Scene, name: &str, (broken, excepted): (usize, usize)) -> String {
    let Scene { site, name: worker, began, .. } = scene;
    let since = |at: u64| (i128::from(at) - i128::from(*began)).to_string();
    let shown = |at: Option<u64>| at.filter(|at| *at > 0).map_or("-".to_owned(), since);
    let logged = |part: &str| {
        let mut lines = site.lines.iter().filter(|(at, _)| at >= began);
        lines.find(|(_, line)| line.contains(part)).map(|(at, _)| *at)
    };
    let starts = site.starts_of("j");
    let first = starts.first().map_or(0, |(.., run)| *run);
    let done = site.done.iter().find(|done| done.run.job == "j" && done.run.run == first);
    let lost_at = logged(&format!("run={first} worker={worker} lost"));
    let granted = site
        .grants
        .iter()
        .filter(|(of, _, at)| of == worker && *at <= lost_at.unwrap_or(began + scene.run_time));
    let times = [
        done.map(|done| done.at),
        done.and_then(|done| done.listed_at),
        done.and_then(|done| done.lapsed_at),
        granted.map(|(_, sent_at, _)| *sent_at).max(),
        Some(site.workers[worker].saved_heard_at),
        lost_at,
        starts.get(1).map(|(at, ..)| *at),
    ];
    let mut text = format!("{name} | {} |", site.bounds.granted);
    for time in times {
        let _ = write!(text, " {} |", shown(time));
    }
    let stop = shown(logged("cause=superseded"));
    let _ = writeln!(text, " {} | {stop} | {broken} | {excepted}", !site.resumed.is_empty());
    text
}
