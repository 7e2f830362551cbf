//! What an agent knows of a minion that it takes for absent.

use std::time::Duration;

use sapphire_jobs::{self as jobs, AbsenceCause};

use crate::machine::Minion;

/// What an agent knows of a minion that it takes for absent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Absence {
    cause: AbsenceCause,
    /// Time of the first of the observations in a row.
    since: Duration,
    observations: u32,
    last_answer: Duration,
    last_heartbeat: Duration,
    /// Identifier of the minion, and the time of its start.
    minion: (String, u64),
}

impl Absence {
    pub(crate) fn new(
        cause: AbsenceCause,
        since: Duration,
        observations: u32,
        minion: Option<&Minion>,
    ) -> Self {
        let absence = Absence { cause, since, observations, ..Absence::default() };
        let Some(minion) = minion else { return absence };
        Absence {
            last_answer: minion.last_answer,
            last_heartbeat: minion.last_heartbeat,
            minion: (minion.incarnation.id.clone(), minion.incarnation.born_ms),
            ..absence
        }
    }

    /// Returns whether this is the absence of an incarnation.
    pub(crate) fn is_of(&self, incarnation: &jobs::Incarnation) -> bool {
        self.minion.0 == incarnation.id && self.minion.1 == incarnation.born_ms
    }

    /// Returns the time since the first observation.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Returns the form in which a poll reports it.
    pub(crate) fn message(&self, now: Duration) -> jobs::Absence {
        let age = |time| u64::try_from(now.saturating_sub(time).as_millis()).unwrap_or(u64::MAX);
        jobs::Absence {
            cause: self.cause.into(),
            age_ms: age(self.since),
            observations: self.observations,
            answer_age_ms: age(self.last_answer),
            heartbeat_age_ms: age(self.last_heartbeat),
        }
    }

    /// Describes it for a log line.
    pub(crate) fn describe(&self, now: Duration) -> String {
        let age = |time| now.saturating_sub(time).as_millis();
        format!(
            "observations={} age_ms={} answered_ms_ago={} heartbeat_ms_ago={}",
            self.observations,
            age(self.since),
            age(self.last_answer),
            age(self.last_heartbeat)
        )
    }
}
