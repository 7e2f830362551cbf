//! Runs and jobs, gathered from the lines of all programs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    event::{self, Event, Run, Task},
    line,
};

/// How a run came to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// When it was known.
    pub at: Duration,
    /// Where it ran.
    pub worker: String,
    /// `DONE`, `STOPPED`, ...
    pub ending: String,
    /// How long it ran.
    pub ran: Duration,
    /// Processors that it took.
    pub cores: f64,
    /// Processor seconds that are lost.
    pub lost: f64,
    /// Why it was stopped; empty when it was not.
    pub cause: String,
    /// The job for which it was stopped.
    pub beneficiary: String,
}

/// A job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Its organisation.
    pub organisation: String,
    /// Its priority.
    pub priority: u32,
    /// When the planner took it in.
    pub accepted: Option<Duration>,
    /// Time within which its caller wants it, as last known.
    pub objective: Duration,
    /// How long its tasks were expected to run when they were last placed.
    pub expected: Duration,
    /// When its last task was done.
    pub done: Option<Duration>,
    /// When its end was shown, and which.
    pub shown: Option<(Duration, String)>,
    /// It was cancelled.
    pub is_cancelled: bool,
    /// It has failed.
    pub is_failed: bool,
    /// Callers were turned away so often, with the last answer.
    pub refusals: (u32, String),
}

/// A span without a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gap {
    /// When the last planner was last heard of.
    pub from: Duration,
    /// When the next one placed work.
    pub to: Duration,
}

/// Everything that was read.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// Lines in all.
    pub lines: u64,
    /// Lines that are cut or of another program.
    pub unreadable: u64,
    /// Starts of runs, as agents logged them.
    pub starts: BTreeMap<Run, Duration>,
    /// Ends of runs.
    pub ends: BTreeMap<Run, End>,
    /// Jobs.
    pub jobs: BTreeMap<String, Job>,
    /// Spans without a planner.
    pub gaps: Vec<Gap>,
    /// Zones of workers.
    pub zones: BTreeMap<String, String>,
    /// Terms of planners that were seen.
    pub terms: BTreeSet<u64>,
    /// First and last time.
    pub span: Option<(Duration, Duration)>,
    planner_heard: Option<Duration>,
    planner_lost: Option<Duration>,
}

impl Book {
    /// Reads lines of all programs, in any order.
    pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Book {
        let mut book = Book::default();
        let mut events: Vec<(Duration, Event)> = Vec::new();
        for text in lines.filter(|line| !line.trim().is_empty()) {
            book.lines += 1;
            match line::read(text) {
                Some(line) => events.push((line.at, event::read(&line))),
                None => book.unreadable += 1,
            }
        }
        events.sort_by_key(|(at, _)| *at);
        book.span = events.first().zip(events.last()).map(|(first, last)| (first.0, last.0));
        for (at, event) in events {
            book.note(at, event);
        }
        book
    }

    fn note(&mut self, at: Duration, event: Event) {
        match event {
            Event::Other => return,
            Event::Zone { worker, zone } => {
                self.zones.insert(worker, zone);
                return;
            }
            Event::Started(run) => {
                self.starts.entry(run).or_insert(at);
                return;
            }
            Event::Refused { job, answer } => {
                let refusals = &mut self.jobs.entry(job).or_default().refusals;
                *refusals = (refusals.0 + 1, answer);
                return;
            }
            Event::TermBegins(term) => {
                self.terms.insert(term);
                self.planner_lost = self.planner_lost.or(self.planner_heard);
                return;
            }
            Event::TermServes(_) => {
                let gap = self.planner_lost.take().map(|from| Gap { from, to: at });
                self.gaps.extend(gap);
            }
            Event::PlannerAlive => {}
            Event::Accepted { job, organisation, priority, objective } => {
                let job = self.jobs.entry(job).or_default();
                job.accepted.get_or_insert(at);
                (job.organisation, job.priority, job.objective) =
                    (organisation, priority, objective);
            }
            Event::Placed { job, expected } => {
                self.jobs.entry(job).or_default().expected = expected;
            }
            Event::Done { job, objective } => {
                let job = self.jobs.entry(job).or_default();
                job.done = Some(at);
                job.objective = objective.unwrap_or(job.objective);
            }
            Event::Shown { job, state } => {
                self.jobs.entry(job).or_default().shown = Some((at, state));
            }
            Event::Cancelled(job) => self.jobs.entry(job).or_default().is_cancelled = true,
            Event::Failed(job) => self.jobs.entry(job).or_default().is_failed = true,
            Event::Ended { run, worker, ending, ran, cores, lost, cause, beneficiary } => {
                let end = End { at, worker, ending, ran, cores, lost, cause, beneficiary };
                self.note_end(run, end);
            }
        }
        self.planner_heard = Some(at);
    }

    /// Two planners may tell of one end; the one that knows what became of the run counts.
    fn note_end(&mut self, run: Run, end: End) {
        let known = self.ends.get(&run);
        if known.is_none_or(|known| known.ending == "LOST") {
            self.ends.insert(run, end);
        }
    }

    /// Ends of a job's runs.
    pub fn ends_of<'a>(&'a self, job: &'a str) -> impl Iterator<Item = (&'a Run, &'a End)> {
        let task = Task { job: job.to_owned(), place: String::new() };
        let first = Run { task, number: 0 };
        self.ends.range(first..).take_while(move |(run, _)| run.task.job == job)
    }

    /// Zone of a worker; `-` when no log names it.
    pub fn zone(&self, worker: &str) -> &str {
        self.zones.get(worker).map_or("-", String::as_str)
    }

    /// When a run began, as its agent logged it, or by its length.
    pub fn began(&self, run: &Run, end: &End) -> Duration {
        let logged = self.starts.get(run).copied();
        logged.unwrap_or_else(|| end.at.saturating_sub(end.ran))
    }
}
