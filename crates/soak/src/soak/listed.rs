//! Checks that no task starts again after an end as done that its minion has listed to its agent, and
//! records all starts after such ends, with what was near.

use std::time::Duration;

use sapphire_jobs::{Ending, task::Task};

use super::{Soak, cancels::CONTACT_TIME, minions::Completion};

/// Time from the list of an end until it counts as taken note of, with no disruption near.
const NOTE_TIME: Duration = Duration::from_millis(100);

/// What a list of an end has come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Listing {
    /// It wasn't listed yet.
    #[default]
    Unlisted,
    /// It was listed at that time, and isn't judged yet.
    Listed(Duration),
    /// The lease of the minion had lapsed when it would have counted.
    Lapsed,
    /// It counts if `near` doesn't excuse it.
    Judged { at: Duration, near: Nearness },
}

/// What was near a list of an end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Nearness {
    /// No disruption: the end counts as taken note of.
    Calm,
    /// A process was stopped by a signal, and nothing else. The platform calls that a freeze; it would
    /// not excuse a process that the machine is too busy to run.
    Freeze,
    /// A disruption.
    Disruption,
}

impl Soak {
    /// Records that a minion has listed its ends to its agent.
    pub(super) fn record_listed(&mut self, now: Duration, agent: u8) {
        let minion = &self.minions[usize::from(agent)];
        let born_ms = minion.incarnation.born_ms;
        for ended in minion.ended.values().filter(|ended| ended.ending() == Ending::Done) {
            let Some(run) = &ended.run else { continue };
            let completions = self.completions.get_mut(&Task::read(run)).into_iter().flatten();
            for completion in completions.filter(|it| it.is_of(agent, born_ms, run.run)) {
                if completion.listing == Listing::Unlisted {
                    completion.listing = Listing::Listed(now);
                }
            }
        }
    }

    /// Judges the lists of ends that are old enough. The task must not have been started since.
    pub(super) fn watch_listed(&mut self, now: Duration) {
        let mut broken = Vec::new();
        for completion in self.completions.values_mut().flatten() {
            let Listing::Listed(at) = completion.listing else { continue };
            if now < at + NOTE_TIME {
                continue;
            }
            let minion = &self.minions[usize::from(completion.agent)];
            let has_lapsed = minion.incarnation.born_ms != completion.born_ms
                || minion.last_expired_at.is_some_and(|lapsed| lapsed >= completion.at);
            let is_near = |until: Duration| until + CONTACT_TIME >= at;
            let near = match (is_near(self.disrupted_until), is_near(self.frozen_until)) {
                (true, _) => Nearness::Disruption,
                (false, true) => Nearness::Freeze,
                (false, false) => Nearness::Calm,
            };
            if has_lapsed {
                completion.listing = Listing::Lapsed;
                continue;
            }
            completion.listing = Listing::Judged { at, near };
            let starts = completion.starts.iter().cloned();
            broken.extend(starts.map(|start| (start, completion.listing)));
        }
        for (start, listing) in broken {
            self.judge_repeat(&format!("{start} before it was judged"), listing);
        }
    }

    /// Records starts of a task that has ended as done before.
    pub(super) fn check_listed(&mut self, now: Duration, task: &Task, start: &str) {
        let describe = |it: &Completion| {
            let (since, agent, number) = (now - it.at, it.agent, it.number);
            (format!("{start} {since:?} after run {number} was done on m{agent}"), it.listing)
        };
        let repeats: Vec<_> =
            self.completions.get(task).into_iter().flatten().map(describe).collect();
        for (text, listing) in repeats {
            self.judge_repeat(&text, listing);
        }
    }

    /// Records a start after an end as done, and what breaks the promise.
    fn judge_repeat(&mut self, text: &str, listing: Listing) {
        let text = format!("{text}, {listing:?}");
        self.write_log(&format!("started again: {text}"));
        match listing {
            Listing::Judged { near: Nearness::Calm, .. } => {
                self.break_promise(format!("{text}: it counts as taken note of"));
            }
            Listing::Judged { near: Nearness::Freeze, .. } => self.outcome.frozen.push(text),
            _ => self.outcome.repeats.push(text),
        }
    }
}
