//! History of runs and jobs, reconstructed from the log lines of all programs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    event::{self, Event, Run, Task},
    line,
};

/// End of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Time at which the planner logged the end.
    pub at: Duration,
    /// Worker on which it ran.
    pub worker: String,
    /// How it ended: `DONE`, `STOPPED`, ...
    pub ending: String,
    /// Run time.
    pub run_time: Duration,
    /// Processors that it used; an accelerator counts as eight.
    pub cores: f64,
    /// Processor seconds of work that were lost.
    pub lost_core_s: f64,
    /// Reason why it was stopped; empty if none was logged.
    pub cause: String,
    /// Job for which it was stopped; empty if there is none.
    pub beneficiary: String,
}

/// A job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Organisation that submitted it.
    pub organisation: String,
    /// Priority of the job.
    pub priority: u32,
    /// Time at which the planner accepted it.
    pub accepted: Option<Duration>,
    /// Time from acceptance within which it should complete, as logged last.
    pub objective: Duration,
    /// Expected run time of the task that was placed last.
    pub expected_run_time: Duration,
    /// Time at which its last task was done.
    pub tasks_done: Option<Duration>,
    /// Time at which its final state became durable and visible to callers, and this state.
    pub published: Option<(Duration, String)>,
    /// Whether it was cancelled.
    pub is_cancelled: bool,
    /// Whether it has failed.
    pub is_failed: bool,
    /// Number of rejected submissions of the job, and the answer to the last of them.
    pub refusals: (u32, String),
}

/// An interval without a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gap {
    /// Time of the last log line of the previous planner.
    pub from: Duration,
    /// Time from which the next planner placed work.
    pub to: Duration,
}

/// Everything that was read from the logs.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Number of lines that are not blank.
    pub lines: u64,
    /// Number of lines that are truncated or of another program.
    pub unreadable: u64,
    /// Time at which the agent logged the start of each run.
    pub starts: BTreeMap<Run, Duration>,
    /// End of each run.
    pub ends: BTreeMap<Run, End>,
    /// Jobs, by identifier.
    pub jobs: BTreeMap<String, Job>,
    /// Intervals without a planner.
    pub gaps: Vec<Gap>,
    /// Zone of each worker.
    pub zones: BTreeMap<String, String>,
    /// Terms that planners began.
    pub terms: BTreeSet<u64>,
    /// Time of the first and of the last line that could be read.
    pub span: Option<(Duration, Duration)>,
    /// Time of the last line that a planner logged during its term.
    last_planner_line: Option<Duration>,
    /// Start of the current interval without a planner.
    gap_start: Option<Duration>,
}

impl History {
    /// Reads the log lines of all programs, in any order.
    pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> History {
        let mut history = History::default();
        let mut events: Vec<(Duration, Event)> = Vec::new();
        for text in lines.filter(|line| !line.trim().is_empty()) {
            history.lines += 1;
            match line::parse(text) {
                Some(line) => events.push((line.at, event::parse(&line))),
                None => history.unreadable += 1,
            }
        }
        events.sort_by_key(|(at, _)| *at);
        history.span = events.first().zip(events.last()).map(|(first, last)| (first.0, last.0));
        for (at, event) in events {
            history.apply(at, event);
        }
        history
    }

    fn apply(&mut self, at: Duration, event: Event) {
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
                self.gap_start = self.gap_start.or(self.last_planner_line);
                return;
            }
            Event::TermServes(_) => {
                let gap = self.gap_start.take().map(|from| Gap { from, to: at });
                self.gaps.extend(gap);
            }
            Event::PlannerAlive => {}
            Event::Accepted { job, organisation, priority, objective } => {
                let job = self.jobs.entry(job).or_default();
                job.accepted.get_or_insert(at);
                (job.organisation, job.priority, job.objective) =
                    (organisation, priority, objective);
            }
            Event::Placed { job, expected_run_time } => {
                self.jobs.entry(job).or_default().expected_run_time = expected_run_time;
            }
            Event::TasksDone { job, objective } => {
                let job = self.jobs.entry(job).or_default();
                job.tasks_done = Some(at);
                job.objective = objective.unwrap_or(job.objective);
            }
            Event::Published { job, state } => {
                self.jobs.entry(job).or_default().published = Some((at, state));
            }
            Event::Cancelled(job) => self.jobs.entry(job).or_default().is_cancelled = true,
            Event::Failed(job) => self.jobs.entry(job).or_default().is_failed = true,
            Event::Ended {
                run,
                worker,
                ending,
                run_time,
                cores,
                lost_core_s,
                cause,
                beneficiary,
            } => {
                let end =
                    End { at, worker, ending, run_time, cores, lost_core_s, cause, beneficiary };
                self.record_end(run, end);
            }
        }
        self.last_planner_line = Some(at);
    }

    /// Records the end of a run. During a take-over two planners may log the same end: an ending
    /// other than `LOST` takes precedence, since that planner knows how the run ended.
    fn record_end(&mut self, run: Run, end: End) {
        let known = self.ends.get(&run);
        if known.is_none_or(|known| known.ending == "LOST") {
            self.ends.insert(run, end);
        }
    }

    /// Returns the runs of a job that have ended, with their ends.
    pub fn runs<'a>(&'a self, job: &'a str) -> impl Iterator<Item = (&'a Run, &'a End)> {
        let task = Task { job: job.to_owned(), position: String::new() };
        let first = Run { task, number: 0 };
        self.ends.range(first..).take_while(move |(run, _)| run.task.job == job)
    }

    /// Returns the zone of a worker, or `-` if no log names it.
    pub fn zone(&self, worker: &str) -> &str {
        self.zones.get(worker).map_or("-", String::as_str)
    }

    /// Returns the time at which a run started: as logged by its agent, otherwise the time of its
    /// end less its run time.
    pub fn start(&self, run: &Run, end: &End) -> Duration {
        let logged = self.starts.get(run).copied();
        logged.unwrap_or_else(|| end.at.saturating_sub(end.run_time))
    }
}
