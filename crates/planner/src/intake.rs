//! Intake of new jobs and cancellations: from notices of entries, and from the store in case an
//! entry could not send a notice.

use std::time::Duration;

use sapphire_jobs::{Job, Notice};
use sapphire_store::call::{Call, Item, Reply, Revision};

use crate::{
    accept,
    effect::Effect,
    event::{Moment, Operation},
    keys::{self, Key},
    options,
    planner::Planner,
    state::intake::Scan,
};

/// Fraction of the memory for jobs that has to be free before jobs that were left out are read again.
const LEFT_OUT_PART: u64 = 32;

impl Planner {
    /// Handles the notice of an entry about what it has written to the store.
    pub(crate) fn handle_notice(&mut self, now: Moment, notice: Notice) {
        if !self.startup.is_serving() {
            // The entry sends the notice again, and the scan in progress may contain the job
            // already.
            return;
        }
        for job in notice.jobs {
            if self.table.entries.contains_key(&job.id) || self.has_memory_for(&job) {
                self.accept_notified(now, job);
            }
        }
        for id in notice.cancelled {
            self.cancel(now, &id, 0);
        }
    }

    /// Reads newly submitted jobs and cancellations from the store at intervals.
    ///
    /// Guards against an entry that dies after it has written a job and before it notifies the
    /// planner: the job's caller was told that it is accepted, and without this read it would never
    /// start. Or its caller was told that it is cancelled, and it would start.
    pub(crate) fn read_intake(&mut self, now: Moment) {
        let is_idle = self.table.open.is_empty();
        let next = if is_idle { self.intake.next_read } else { self.intake.next_fresh_read };
        if !self.startup.is_serving() || self.intake.is_reading || now.steady < next {
            return;
        }
        self.read_left_out(now);
        self.intake.is_reading = true;
        self.intake.requested_at = now.steady;
        let prefix = keys::INTAKE.to_owned();
        let call = match &self.intake.scan {
            Some(scan) => Call::Scan { prefix, after: scan.after.clone(), may_be_stale: false },
            None => {
                let wait = Duration::from_millis(1);
                Call::WatchPrefix { prefix, after: self.intake.revision, wait }
            }
        };
        self.effects.push(Effect::Store(Operation::Intake, call));
    }

    /// Returns whether there is memory for the record of a job. Otherwise it is left out until there is: it
    /// stays in the store.
    fn has_memory_for(&mut self, job: &Job) -> bool {
        let has_memory = self.table.takes_record(job);
        if !has_memory {
            let is_first = self.load.left_out == 0;
            self.load.left_out += usize::from(is_first || self.intake.scan.is_some());
            if is_first {
                self.log(format!("job={} is left out: no memory for more jobs", job.id));
            }
        }
        has_memory
    }

    /// Reads all submissions again once there is memory for those that were left out.
    fn read_left_out(&mut self, now: Moment) {
        let account = &self.table.account;
        let left = account.left();
        let has_memory = left.free.min(left.free_records) >= account.limit() / LEFT_OUT_PART;
        let is_early = now.steady < self.intake.left_out_read_at + options::LEFT_OUT_INTERVAL;
        if self.load.left_out == 0 || !has_memory || is_early || self.intake.scan.is_some() {
            return;
        }
        self.log(format!("reading the jobs that were left out: {}", self.load.left_out));
        self.load.left_out = 0;
        self.intake.left_out_read_at = now.steady;
        self.intake.scan = Some(Scan { requested_at: now.steady, ..Scan::default() });
    }

    /// Handles the reply to a read of newly submitted jobs and cancellations.
    pub(crate) fn handle_intake(&mut self, now: Moment, reply: Reply) {
        self.intake.is_reading = false;
        self.intake.schedule(now.steady);
        let items = match reply {
            Reply::Changes { items, revision } => {
                self.intake.revision = revision.max(self.intake.revision);
                self.verify_intake(now, self.intake.requested_at);
                items
            }
            Reply::HistoryGone => {
                self.log("the store's history is gone; reading all submissions again".to_owned());
                let requested_at = now.steady;
                self.intake.scan = Some(Scan { requested_at, ..Scan::default() });
                self.intake.read_at(now.steady);
                self.read_intake(now);
                return;
            }
            Reply::Items { items, has_more, revision } => {
                self.intake_page(now, &items, has_more, revision);
                items
            }
            _ => {
                // A later read would find a cancellation too late.
                self.intake.read_at(now.steady + options::WATCH_RETRY);
                return;
            }
        };
        for item in items {
            let Some(value) = item.value else { continue };
            match keys::parse(&item.key) {
                Key::Job(id) if !self.table.entries.contains_key(id) => {
                    match accept::read_record(id, &value) {
                        Ok(job) if !self.has_memory_for(&job) => {}
                        Ok(job) => {
                            self.log(format!(
                                "job={id} found in the store without a notice from an entry"
                            ));
                            let submitted = accept::submission_time(now, &job);
                            self.accept(now, job, submitted);
                        }
                        Err(error) => {
                            self.log(format!("job={id} record can't be decoded: {error}"));
                        }
                    }
                }
                Key::Cancel(id) => self.cancel(now, id, item.revision),
                _ => {}
            }
        }
    }

    /// Reads the next page, or continues by watching after the last one.
    ///
    /// The pages are not a snapshot: a record that is written into the range of an earlier page
    /// while later pages are read is found only by watching from the revision of the first page.
    fn intake_page(&mut self, now: Moment, items: &[Item], has_more: bool, revision: Revision) {
        let Some(mut scan) = self.intake.scan.take() else { return };
        let first = *scan.first_revision.get_or_insert(revision);
        match items.last().filter(|_| has_more) {
            Some(last) => {
                scan.after.clone_from(&last.key);
                self.intake.scan = Some(scan);
                self.intake.read_at(now.steady);
                self.read_intake(now);
            }
            None => {
                self.intake.revision = self.intake.revision.max(first);
                self.verify_intake(now, scan.requested_at);
            }
        }
    }

    /// Records that all submissions and cancellations are known that were written before a time. Logs the
    /// end of a time in which nothing was started since they were not.
    fn verify_intake(&mut self, now: Moment, requested_at: Duration) {
        let age = now.steady.saturating_sub(self.intake.verified_at);
        if self.cancellation_window(now).is_zero() && !self.table.open.is_empty() {
            let limit = self.options.cancel_deadline.as_millis();
            self.log(format!(
                "cancellations are known again after {} ms, limit_ms={limit}",
                age.as_millis()
            ));
        }
        self.intake.verified_at = self.intake.verified_at.max(requested_at);
    }

    /// Returns the time for which starts may be sent that rely on the cancellations that are known.
    ///
    /// Guards against a start of a job whose cancellation was acknowledged long ago by an entry that has
    /// ended, or doesn't reach this planner, while the planner can't read it either.
    pub(crate) fn cancellation_window(&self, now: Moment) -> Duration {
        let age = now.steady.saturating_sub(self.intake.verified_at);
        self.options.cancel_deadline.saturating_sub(age + options::START_MARGIN)
    }
}
