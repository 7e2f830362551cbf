//! Account of the memory that is reckoned for the jobs of the table.

use sapphire_jobs::{
    JobMemory,
    footprint::{self, Budget},
};

/// Fraction of what jobs may take up to which one counts as small.
const SMALL_PART: u64 = 16;
/// Fraction of it that a job may take with further occurrences.
const REPEATED_PART: u64 = 4;
/// Fraction of it that is left to urgent jobs.
const RESERVED_PART: u64 = 16;

/// Account of the memory that is reckoned for the jobs of the table.
///
/// Guards against a planner that exceeds its memory because of what was accepted, and its successors with
/// it. Jobs that take much together take at most half, or one of them alone seven eighths, and one that
/// repeats a quarter, so that others find room beside them.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    budget: Budget,
    /// Bytes that are kept for all jobs.
    used: u64,
    /// Bytes of these for their records.
    records: u64,
    /// Bytes that are kept for those that aren't small.
    large: u64,
}

/// Bytes that are kept for a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Bytes for its record.
    pub record: u64,
    /// Bytes for its groups.
    pub groups: u64,
}

impl Kept {
    /// Returns the sum.
    pub fn all(self) -> u64 {
        self.record.saturating_add(self.groups)
    }
}

impl Account {
    /// Returns an account of `memory` bytes, of which nothing is in use.
    pub fn new(memory: u64) -> Self {
        Account { budget: Budget::new(memory), used: 0, records: 0, large: 0 }
    }

    /// Bytes for jobs, without their runs.
    pub fn limit(&self) -> u64 {
        self.budget.jobs
    }

    /// Most runs at a time.
    pub fn max_runs(&self) -> usize {
        usize::try_from(self.budget.runs).unwrap_or(usize::MAX)
    }

    /// Bytes that are kept for all jobs.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Bytes that are left to urgent jobs alone.
    fn reserve(&self) -> u64 {
        self.limit() / RESERVED_PART
    }

    /// Returns what is left for further jobs.
    pub fn left(&self) -> JobMemory {
        let all = self.limit().saturating_sub(self.used);
        let free = all.saturating_sub(self.reserve());
        let largest = if self.large == 0 { self.budget.largest_job() } else { self.limit() / 2 };
        JobMemory {
            free,
            reserve: all - free,
            small: self.limit() / SMALL_PART,
            free_large: free.min(largest.saturating_sub(self.large)),
            free_records: self.free_records(),
        }
    }

    /// Returns what is left for records, which take at most half.
    ///
    /// Guards against jobs none of which starts, since their records leave no memory for tasks.
    fn free_records(&self) -> u64 {
        (self.limit() / 2).saturating_sub(self.records)
    }

    /// Returns whether there is room for the record of another job.
    pub fn takes_record(&self, is_urgent: bool, bytes: u64) -> bool {
        bytes <= self.free_records() && self.takes(is_urgent, 0, bytes, true)
    }

    /// Returns whether bytes that are kept for one job make it a large one.
    pub fn is_large(&self, kept: u64) -> bool {
        kept > self.limit() / SMALL_PART
    }

    /// Returns whether there is room for more bytes of a job, which are those of its first occurrence or
    /// of a further one.
    pub fn takes(&self, is_urgent: bool, kept: u64, more: u64, is_first: bool) -> bool {
        let total = kept.saturating_add(more);
        let reserve = if is_urgent { 0 } else { self.reserve() };
        if self.used.saturating_add(more) > self.limit() - reserve {
            return false;
        }
        if !self.is_large(total) {
            return true;
        }
        let others = if self.is_large(kept) { self.large - kept } else { self.large };
        match is_first {
            true if others == 0 => total <= self.budget.largest_job(),
            true => others + total <= self.limit() / 2,
            false => total <= self.limit() / REPEATED_PART && others + total <= self.limit() / 2,
        }
    }

    /// Returns whether more bytes fit into all memory, that of runs included.
    pub fn can_exceed(&self, more: u64) -> bool {
        let all = self.limit().saturating_add(self.budget.runs.saturating_mul(footprint::RUN));
        self.used.saturating_add(more) <= all
    }

    /// Records that the bytes that are kept for a job change.
    pub fn change(&mut self, before: Kept, after: Kept) {
        let changed = |sum: u64, before, after| sum.saturating_sub(before).saturating_add(after);
        self.records = changed(self.records, before.record, after.record);
        let (before, after) = (before.all(), after.all());
        self.used = changed(self.used, before, after);
        let large = |kept| if self.is_large(kept) { kept } else { 0 };
        let (before, after) = (large(before), large(after));
        self.large = changed(self.large, before, after);
    }
}

impl Default for Account {
    fn default() -> Self {
        Account::new(u64::MAX)
    }
}
