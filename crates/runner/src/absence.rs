//! What an agent has observed of a minion that seems to be absent.

use std::time::Duration;

use sapphire_jobs::{self as jobs, AbsenceCause};

use crate::{machine::Minion, options};

/// What an agent has observed of a minion that seems to be absent.
///
/// It says nothing about what the minion runs: a listener may refuse connections for a moment, and a
/// minion may go on after it has deregistered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Absence {
    cause: AbsenceCause,
    /// Time of the first of the observations in a row.
    since: Duration,
    observations: u32,
    /// When the minion last answered, and when its latest heartbeat arrived.
    last_answer: Duration,
    last_heartbeat: Duration,
    /// Number of tasks that it was running by then.
    running: usize,
    /// Sequence of the first poll that reports the absence.
    pub(crate) reported_in: Option<u64>,
    /// A poll that reports the absence was answered.
    pub(crate) is_reported: bool,
}

impl Absence {
    /// Returns an absence that is first observed now.
    pub(crate) fn new(cause: AbsenceCause, now: Duration, minion: Option<&Minion>) -> Self {
        let absence = Absence { cause, since: now, observations: 1, ..Absence::default() };
        let Some(minion) = minion else { return absence };
        Absence {
            last_answer: minion.last_answer,
            last_heartbeat: minion.last_heartbeat,
            running: minion.running.len(),
            ..absence
        }
    }

    /// Adds an observation.
    pub(crate) fn repeat(&mut self) {
        self.observations += 1;
    }

    /// Records a heartbeat that arrives meanwhile.
    pub(crate) fn heartbeat_received(&mut self, now: Duration) {
        self.last_heartbeat = now;
    }

    /// Returns whether there are enough observations to report it.
    pub(crate) fn is_shown(&self) -> bool {
        let is_refused = self.cause == AbsenceCause::NotListening;
        !is_refused || self.observations >= options::MAX_REFUSED_CONNECTIONS
    }

    /// Returns whether it shows that connections are refused.
    pub(crate) fn is_refused(&self) -> bool {
        self.is_shown() && self.cause == AbsenceCause::NotListening
    }

    /// Returns the form in which a poll reports it.
    pub(crate) fn message(&self, now: Duration) -> jobs::Absence {
        jobs::Absence {
            cause: self.cause.into(),
            age_ms: age(now, self.since),
            observations: self.observations,
            answer_age_ms: age(now, self.last_answer),
            heartbeat_age_ms: age(now, self.last_heartbeat),
        }
    }

    /// Describes it for a log line.
    pub(crate) fn describe(&self, now: Duration) -> String {
        let why = match self.cause {
            AbsenceCause::Present => "it answers",
            AbsenceCause::NotListening => "nothing listens at its address",
            AbsenceCause::Replaced => "another one answers at its address",
            AbsenceCause::Deregistered => "it has deregistered",
        };
        format!(
            "{why}: observations={} age_ms={} answered_ms_ago={} heartbeat_ms_ago={} running={}",
            self.observations,
            age(now, self.since),
            age(now, self.last_answer),
            age(now, self.last_heartbeat),
            self.running
        )
    }
}

fn age(now: Duration, time: Duration) -> u64 {
    u64::try_from(now.saturating_sub(time).as_millis()).unwrap_or(u64::MAX)
}
