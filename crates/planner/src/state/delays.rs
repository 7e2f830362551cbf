//! State of the search for the reasons for which placed runs have not begun.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::task::{GroupKey, JobId};

use crate::{
    delay::{Reason, Summary},
    lines::Lines,
};

/// State of the search for the reasons for which placed runs have not begun.
#[derive(Default)]
pub(crate) struct Delays {
    /// Figures of the latest search.
    pub(crate) summary: Summary,
    /// Time of the latest search.
    pub(crate) searched_at: Duration,
    /// Reason in the latest line on each group that is delayed, with the time of that line.
    pub(crate) logged: BTreeMap<(JobId, GroupKey), (Reason, Duration)>,
    pub(crate) lines: Lines,
}
