//! Report on wasted work and late jobs, aggregated from a history.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    delay::{self, Delay},
    event::Run,
    history::{End, History, Job},
};

/// Length of the time windows over which wasted work is summed.
const WINDOW: Duration = Duration::from_secs(2);
/// Key for wasted work whose job or beneficiary is unknown.
const NONE: &str = "-";

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Its final state became visible within its objective.
    OnTime,
    /// Its final state became visible later than its objective.
    Late,
    /// It failed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It had no visible final state when the logs ended.
    Unserved,
    /// Its submission was rejected, and it was never accepted.
    Refused,
}

/// A job that did not complete within its objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Identifier of the job.
    pub job: String,
    /// Priority of the job.
    pub priority: u32,
    /// Organisation that submitted it.
    pub organisation: String,
    /// Outcome of the job.
    pub fate: Outcome,
    /// Time of its acceptance in milliseconds since the first line; 0 if it was never accepted.
    pub at_ms: u64,
    /// Milliseconds from its acceptance until its final state became visible or the logs ended; 0
    /// if its submission was rejected.
    pub took_ms: u64,
    /// Time from acceptance within which it should have completed, in milliseconds.
    pub objective_ms: u64,
    /// What the time was spent on.
    pub delay: Delay,
    /// Number of rejected submissions.
    pub refusals: u32,
    /// Answer to the last rejected submission.
    pub answer: String,
}

/// Processor seconds of wasted work.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Waste {
    /// By cause: the reason for the stop, or how the run ended if none was logged.
    pub by_cause: BTreeMap<String, f64>,
    /// By the job for which runs were stopped.
    pub by_beneficiary: BTreeMap<String, f64>,
    /// By priority of the job that lost the work.
    pub by_priority: BTreeMap<String, f64>,
    /// By organisation of the job that lost the work.
    pub by_organisation: BTreeMap<String, f64>,
    /// By zone of the worker.
    pub by_zone: BTreeMap<String, f64>,
    /// By time window; the key is its start in seconds since the first line.
    pub by_window: BTreeMap<u64, f64>,
    /// Sum of all wasted work.
    pub total: f64,
    /// Work of runs that ended as `LOST`, with their worker or because no planner knows how they
    /// ended; not in the total.
    pub with_worker: f64,
    /// Work of runs that failed by themselves (`FAULTY`); not in the total.
    pub failed: f64,
}

/// Report on wasted work and late jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of lines read.
    pub lines: u64,
    /// Number of these lines that are truncated or of another program.
    pub unreadable: u64,
    /// Number of terms that planners began.
    pub planners: usize,
    /// Milliseconds without a planner.
    pub no_planner_ms: u64,
    /// Number of runs by how they ended.
    pub runs: BTreeMap<String, u64>,
    /// Number of jobs by outcome.
    pub jobs: BTreeMap<Outcome, u64>,
    /// Wasted work.
    pub lost: Waste,
    /// Jobs that did not complete within their objective, by time of acceptance.
    pub troubles: Vec<Violation>,
}

impl Report {
    /// Aggregates a history.
    pub fn new(history: &History) -> Report {
        let mut report = Report {
            lines: history.lines,
            unreadable: history.unreadable,
            planners: history.terms.len(),
            no_planner_ms: history.gaps.iter().map(|gap| millis(gap.to - gap.from)).sum(),
            ..Report::default()
        };
        for (run, end) in &history.ends {
            *report.runs.entry(end.ending.to_lowercase()).or_default() += 1;
            report.lost.add(history, run, end);
        }
        report.lost.add_gang_waits(history);
        for (id, job) in &history.jobs {
            let outcome = outcome(job);
            *report.jobs.entry(outcome).or_default() += 1;
            if !matches!(outcome, Outcome::OnTime | Outcome::Cancelled) {
                report.troubles.push(violation(history, id, job, outcome));
            }
        }
        report
            .troubles
            .sort_by(|left, right| (left.at_ms, &left.job).cmp(&(right.at_ms, &right.job)));
        report
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn outcome(job: &Job) -> Outcome {
    let Some(accepted) = job.accepted else { return Outcome::Refused };
    if job.is_cancelled {
        return Outcome::Cancelled;
    }
    match &job.published {
        Some((_, state)) if state == "FAILED" => Outcome::Failed,
        Some((at, _)) if at.saturating_sub(accepted) <= job.objective => Outcome::OnTime,
        Some(_) => Outcome::Late,
        None if job.is_failed => Outcome::Failed,
        None => Outcome::Unserved,
    }
}

fn violation(history: &History, id: &str, job: &Job, fate: Outcome) -> Violation {
    let (first, last) = history.span.unwrap_or_default();
    let accepted = job.accepted.unwrap_or(first);
    let end = job.published.as_ref().map_or(last, |(at, _)| *at);
    Violation {
        job: id.to_owned(),
        priority: job.priority,
        organisation: job.organisation.clone(),
        fate,
        at_ms: millis(accepted.saturating_sub(first)),
        took_ms: if fate == Outcome::Refused { 0 } else { millis(end.saturating_sub(accepted)) },
        objective_ms: millis(job.objective),
        delay: delay::split(history, id, job),
        refusals: job.refusals.0,
        answer: job.refusals.1.clone(),
    }
}

impl Waste {
    fn add(&mut self, history: &History, run: &Run, end: &End) {
        if end.lost_core_s <= 0.0 {
            return;
        }
        match end.ending.as_str() {
            "LOST" => self.with_worker += end.lost_core_s,
            "FAULTY" => self.failed += end.lost_core_s,
            _ => self.add_to_total(history, run, end, &cause(end), end.lost_core_s),
        }
    }

    fn add_to_total(&mut self, history: &History, run: &Run, end: &End, cause: &str, core_s: f64) {
        let job = history.jobs.get(&run.task.job);
        let first = history.span.map_or(Duration::ZERO, |(first, _)| first);
        let seconds = end.at.saturating_sub(first).as_secs();
        let window = seconds - seconds % WINDOW.as_secs();
        let priority = job.map_or(NONE.to_owned(), |job| job.priority.to_string());
        let organisation = job.map_or(NONE, |job| job.organisation.as_str());
        let beneficiary = if end.beneficiary.is_empty() { NONE } else { &end.beneficiary };
        self.total += core_s;
        let sum = |table: &mut BTreeMap<String, f64>, key: &str| {
            *table.entry(key.to_owned()).or_default() += core_s;
        };
        sum(&mut self.by_cause, cause);
        sum(&mut self.by_beneficiary, beneficiary);
        sum(&mut self.by_priority, &priority);
        sum(&mut self.by_organisation, organisation);
        sum(&mut self.by_zone, history.zone(&end.worker));
        *self.by_window.entry(window).or_default() += core_s;
    }

    /// Adds the processor seconds for which members of a gang occupied their resources while they
    /// waited for the last member to start.
    fn add_gang_waits(&mut self, history: &History) {
        let mut gangs: BTreeMap<(&str, &str, u32), Vec<&Run>> = BTreeMap::new();
        for run in history.ends.keys() {
            let step = run.task.position.rsplit_once('/').map_or("", |(step, _)| step);
            gangs.entry((&run.task.job, step, run.number)).or_default().push(run);
        }
        for members in gangs.into_values().filter(|members| is_gang(history, members)) {
            let last = members.iter().filter_map(|run| history.starts.get(run)).max();
            for run in &members {
                let (Some(last), Some(started)) = (last, history.starts.get(run)) else { continue };
                let Some(end) = history.ends.get(run) else { continue };
                let core_s = end.cores * last.saturating_sub(*started).as_secs_f64();
                if core_s > 0.0 {
                    self.add_to_total(history, run, end, "gang-waits", core_s);
                }
            }
        }
    }
}

/// Returns whether runs of one step are the members of a gang. Log lines do not name gangs, but
/// only a member of a gang ends as `BROKEN` or `ALONE`; a gang without such an end is not
/// recognised.
fn is_gang(history: &History, members: &[&Run]) -> bool {
    let ends = || members.iter().filter_map(|run| history.ends.get(run));
    members.len() > 1 && ends().any(|end| end.ending == "BROKEN" || end.ending == "ALONE")
}

fn cause(end: &End) -> String {
    if end.cause.is_empty() { end.ending.to_lowercase() } else { end.cause.clone() }
}
