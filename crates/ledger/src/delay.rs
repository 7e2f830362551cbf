//! Where the time of a late job went.

use std::time::Duration;

use serde::Serialize;

use crate::book::{Book, Job};

/// Milliseconds of a job's time, by what it was spent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Delay {
    /// Nothing of it ran, and there was a planner: no room, or it waited for its turn.
    pub waiting_ms: u64,
    /// There was no planner, and nothing of it ran.
    pub no_planner_ms: u64,
    /// Only runs were at work that came to nothing.
    pub again_ms: u64,
    /// Runs were at work that came to their end, as long as was expected of them.
    pub running_ms: u64,
    /// The same, beyond what was expected.
    pub slower_ms: u64,
    /// All was done and not shown yet.
    pub shown_late_ms: u64,
}

/// A span in which something held.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Duration,
    to: Duration,
}

impl Span {
    fn holds(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

/// Splits a job's time, from its acceptance until its end was shown or the logs end.
pub fn split(book: &Book, id: &str, job: &Job) -> Delay {
    let Some(from) = job.accepted else { return Delay::default() };
    let last = book.span.map_or(from, |(_, last)| last);
    let to = job.shown.as_ref().map_or(last, |(at, _)| *at);
    let (done, vain) = runs(book, id);
    let gaps: Vec<Span> = book.gaps.iter().map(|gap| Span { from: gap.from, to: gap.to }).collect();
    let mut cuts: Vec<Duration> = vec![from, to];
    let spans = || done.iter().chain(&vain).chain(&gaps);
    cuts.extend(spans().flat_map(|span| [span.from, span.to]));
    cuts.extend(job.done);
    cuts.retain(|at| (from..=to).contains(at));
    cuts.sort_unstable();
    let mut delay = Delay::default();
    let mut worked = Duration::ZERO;
    for pair in cuts.windows(2) {
        let (at, time) = (pair[0], pair[1] - pair[0]);
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let is_in = |spans: &[Span]| spans.iter().any(|span| span.holds(at));
        if job.done.is_some_and(|done| at >= done) {
            delay.shown_late_ms += ms;
        } else if is_in(&done) {
            let is_slower = !job.expected.is_zero() && worked >= job.expected;
            worked += time;
            *(if is_slower { &mut delay.slower_ms } else { &mut delay.running_ms }) += ms;
        } else if is_in(&vain) {
            delay.again_ms += ms;
        } else if is_in(&gaps) {
            delay.no_planner_ms += ms;
        } else {
            delay.waiting_ms += ms;
        }
    }
    delay
}

/// Runs of a job that came to their end, and those that came to nothing.
fn runs(book: &Book, id: &str) -> (Vec<Span>, Vec<Span>) {
    let (mut done, mut vain) = (Vec::new(), Vec::new());
    for (run, end) in book.ends_of(id) {
        let span = Span { from: book.began(run, end), to: end.at };
        if end.ending == "DONE" { &mut done } else { &mut vain }.push(span);
    }
    (done, vain)
}
