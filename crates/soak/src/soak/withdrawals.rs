//! Callers that cancel jobs whose submissions had no answer: their entry was paused before it read them.

use std::{ops::Range, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

use super::{
    Job, Options, Soak,
    spells::{Kind, Spells},
};
use crate::fleet::ENTRIES;

/// Timeout of a submission after which its caller cancels the job.
pub(super) const TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which an entry is paused.
const PAUSED_MS: Range<u64> = 3_000..7_000;
/// Time from one pause to the next, and the share of the pauses during which the next one begins.
const INTERVAL_MS: Range<u64> = 200..2_500;
const OVERLAP_SHARE: f64 = 0.3;
/// Number of jobs that are submitted to the entry.
const JOBS: usize = 3;
/// Time from the acknowledgement of its cancellation until a submission arrives again.
const DUPLICATE_DELAY: Duration = Duration::from_millis(3_500);

impl Job {
    /// Returns whether the caller has given up a submission without an answer.
    pub(super) fn is_withdrawn(&self) -> bool {
        self.withdraws && !self.is_accepted && self.cancel_sent_at.is_some()
    }

    /// Ends the caller's requests for a job whose cancellation was acknowledged; its submission arrives
    /// once more.
    pub(super) fn end_withdrawal(&mut self, now: Duration) {
        self.next_request_at = Duration::MAX;
        self.duplicate_at = Some(now + DUPLICATE_DELAY);
    }
}

impl Spells {
    /// Draws the entries that are paused, some of them at the same time.
    pub(super) fn draw_withdrawals(
        &mut self,
        options: &Options,
        start: Duration,
        length: Duration,
    ) {
        let rng = &mut Pcg32::seed_from_u64(options.seed ^ 0x0d1a_3a15);
        let millis = Duration::from_millis;
        let mut from = start;
        while options.trouble.withdrawals && from < start + length {
            from += millis(rng.random_range(INTERVAL_MS));
            let until = from + millis(rng.random_range(PAUSED_MS));
            self.push(from, until, Kind::Withdrawals(rng.random_range(0..ENTRIES)));
            if !rng.random_bool(OVERLAP_SHARE) {
                from = until;
            }
        }
    }
}

impl Soak {
    /// Submits jobs to an entry that is paused, which their callers cancel if they get no answer.
    pub(super) fn submit_withdrawn(&mut self, now: Duration, entry: u8) {
        for _ in 0..JOBS {
            let id = self.add_job(now);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.entry = entry;
                job.withdraws = true;
            }
        }
    }
}
