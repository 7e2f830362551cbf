//! Attribution of a late job's time to what the job waited for or ran.

use std::time::Duration;

use serde::Serialize;

use crate::history::{History, Job};

/// Time of a job in milliseconds, by what it was spent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Delay {
    /// No run of the job was active although there was a planner: resources were short, or other
    /// jobs had precedence.
    pub waiting_ms: u64,
    /// No run of the job was active, and there was no planner.
    pub no_planner_ms: u64,
    /// Only runs were active that did not end as `DONE`; usually their tasks had to run again.
    pub again_ms: u64,
    /// Runs that ended as `DONE` were active, up to the expected run time in total.
    pub running_ms: u64,
    /// Runs that ended as `DONE` were active beyond the expected run time.
    pub slower_ms: u64,
    /// All tasks were done, but the final state was not durable and visible to callers yet.
    pub shown_late_ms: u64,
}

/// A half-open interval of time: `to` does not belong to it.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Duration,
    to: Duration,
}

impl Span {
    fn contains(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

/// Splits the time of a job from its acceptance until its final state became visible, or until the
/// logs end.
pub fn split(history: &History, id: &str, job: &Job) -> Delay {
    let Some(from) = job.accepted else { return Delay::default() };
    let last = history.span.map_or(from, |(_, last)| last);
    let to = job.published.as_ref().map_or(last, |(at, _)| *at);
    let (useful, wasted) = run_spans(history, id);
    let gaps: Vec<Span> =
        history.gaps.iter().map(|gap| Span { from: gap.from, to: gap.to }).collect();
    let mut boundaries: Vec<Duration> = vec![from, to];
    let spans = || useful.iter().chain(&wasted).chain(&gaps);
    boundaries.extend(spans().flat_map(|span| [span.from, span.to]));
    boundaries.extend(job.tasks_done);
    boundaries.retain(|at| (from..=to).contains(at));
    boundaries.sort_unstable();
    let mut delay = Delay::default();
    let mut run_time = Duration::ZERO;
    for pair in boundaries.windows(2) {
        let (at, time) = (pair[0], pair[1] - pair[0]);
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let is_in = |spans: &[Span]| spans.iter().any(|span| span.contains(at));
        if job.tasks_done.is_some_and(|done| at >= done) {
            delay.shown_late_ms += ms;
        } else if is_in(&useful) {
            let is_slower = !job.expected_run_time.is_zero() && run_time >= job.expected_run_time;
            run_time += time;
            *(if is_slower { &mut delay.slower_ms } else { &mut delay.running_ms }) += ms;
        } else if is_in(&wasted) {
            delay.again_ms += ms;
        } else if is_in(&gaps) {
            delay.no_planner_ms += ms;
        } else {
            delay.waiting_ms += ms;
        }
    }
    delay
}

/// Returns the intervals of a job's runs that ended as `DONE`, and of those that ended otherwise.
fn run_spans(history: &History, id: &str) -> (Vec<Span>, Vec<Span>) {
    let (mut useful, mut wasted) = (Vec::new(), Vec::new());
    for (run, end) in history.runs(id) {
        let span = Span { from: history.start(run, end), to: end.at };
        if end.ending == "DONE" { &mut useful } else { &mut wasted }.push(span);
    }
    (useful, wasted)
}
