//! State of the log of runs: on which worker each run may be that a planner has ordered.

use std::collections::{BTreeMap, BTreeSet};

use sapphire_jobs::task::{JobId, RunNumber, Task, WorkerName};

use super::handover::Write;

/// Number of a segment, in the order in which they were written.
type Number = u64;

/// A run on a worker, in the order of the tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Row {
    pub(crate) task: Task,
    pub(crate) number: RunNumber,
    pub(crate) worker: WorkerName,
}

/// A segment of the log, which is one record in the store.
#[derive(Debug)]
struct Segment {
    key: String,
    rows: Vec<Row>,
    /// Number of its runs that no other segment is known to contain.
    live_rows: usize,
    /// A write that adds or removes the segment has had no reply.
    is_in_flight: bool,
}

/// A write that has had no reply.
#[derive(Debug)]
struct Draft {
    added: Number,
    removed: Vec<Number>,
}

/// What a write of the handover record adds to the log, and what it removes.
#[derive(Debug, Default)]
pub(crate) struct Change {
    /// Key and rows of a segment; `None` if there is none to add.
    pub(crate) segment: Option<(String, Vec<Row>)>,
    pub(crate) removes: Vec<String>,
    /// With this write the log has all runs.
    pub(crate) is_complete: bool,
}

/// The log of runs: segments in the store that together contain each run that may be on a worker. A
/// write adds one with the runs that no stored segment contains. The runs that are left in the oldest
/// one are moved to the new one when there are many, so that their number follows that of the runs.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    /// Each run, with the stored segment that contains it.
    runs: BTreeMap<Row, Option<Number>>,
    by_worker: BTreeMap<WorkerName, BTreeSet<Row>>,
    /// Runs that no segment is known to contain.
    missing: BTreeSet<Row>,
    /// Runs that have ended, with the change of their job that must be durable first.
    ended: BTreeMap<Row, (JobId, u64)>,
    segments: BTreeMap<Number, Segment>,
    drafts: BTreeMap<Write, Draft>,
    next: Number,
}

/// Maximum number of rows of a segment, which keeps it below the size that the store takes.
const MAX_ROWS: usize = 8_000;
/// Maximum number of segments that one write removes: the store takes 32 rows.
const MAX_REMOVED: usize = 8;
/// Number of segments from which on the oldest one is merged into the next one.
const MIN_SEGMENTS: usize = 16;
/// Average number of runs of a segment once there are many of them.
const RUNS_PER_SEGMENT: usize = 32;

impl Row {
    /// Returns the least row of a task.
    pub(crate) fn first_of(task: Task) -> Self {
        Row { task, number: 0, worker: WorkerName::new() }
    }
}

impl RunLog {
    /// Returns the runs of the tasks from `first` up to, but without `end`.
    pub(crate) fn range(&self, first: Task, end: Task) -> impl Iterator<Item = &Row> {
        let rows = self.runs.range(Row::first_of(first)..Row::first_of(end));
        rows.map(|(row, _)| row)
    }

    /// Returns the tasks of all runs.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.runs.keys().map(|row| &row.task)
    }

    /// Returns whether the log in the store lacks runs.
    pub(crate) fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Loads a segment from the store. `is_live` says which of its rows may still be on their worker.
    pub(crate) fn load(&mut self, key: String, rows: Vec<Row>, is_live: impl Fn(&Row) -> bool) {
        let number = self.next;
        self.next += 1;
        let mut live_rows = 0;
        for row in rows.iter().filter(|row| is_live(row)) {
            if !self.runs.contains_key(row) {
                self.insert(row, Some(number));
                live_rows += 1;
            }
        }
        self.segments.insert(number, Segment { key, rows, live_rows, is_in_flight: false });
    }

    /// Adds a run that may be on its worker.
    pub(crate) fn add(&mut self, row: Row) {
        self.ended.remove(&row);
        if !self.runs.contains_key(&row) {
            self.insert(&row, None);
            self.missing.insert(row);
        }
    }

    /// Records that a run has ended. It stays in the log until a change of its job is durable, and comes
    /// into it if an earlier version has ordered it.
    ///
    /// Guards against a task that is done and runs again: until then only the list of its minion, which
    /// a successor may not reach, says so.
    pub(crate) fn end(&mut self, row: Row, change: Option<(JobId, u64)>) {
        let Some(change) = change else {
            self.release(&row);
            return;
        };
        self.add(row.clone());
        self.ended.insert(row, change);
    }

    /// Removes the runs that have ended, once that is durable.
    pub(crate) fn settle(&mut self, is_durable: impl Fn(&str, u64) -> bool) {
        let over = self.ended.extract_if(.., |_, (job, change)| is_durable(job, *change));
        let over: Vec<Row> = over.map(|(row, _)| row).collect();
        over.iter().for_each(|row| self.release(row));
    }

    /// Removes the runs of a worker that are not on it any more, but for those whose end is not durable.
    pub(crate) fn retain_on(&mut self, worker: &str, is_there: impl Fn(&Row) -> bool) {
        let is_over = |row: &&Row| !is_there(row) && !self.ended.contains_key(*row);
        let rows = self.by_worker.get(worker).into_iter().flatten();
        let over: Vec<Row> = rows.filter(is_over).cloned().collect();
        over.iter().for_each(|row| self.release(row));
    }

    fn insert(&mut self, row: &Row, stored_in: Option<Number>) {
        self.runs.insert(row.clone(), stored_in);
        self.by_worker.entry(row.worker.clone()).or_default().insert(row.clone());
    }

    /// Removes a run.
    fn release(&mut self, row: &Row) {
        self.ended.remove(row);
        self.missing.remove(row);
        if let Some(rows) = self.by_worker.get_mut(&row.worker) {
            rows.remove(row);
            if rows.is_empty() {
                self.by_worker.remove(&row.worker);
            }
        }
        let stored_in = self.runs.remove(row).flatten();
        if let Some(segment) = stored_in.and_then(|stored_in| self.segments.get_mut(&stored_in)) {
            segment.live_rows -= 1;
        }
    }

    /// Begins a write, which is carried out as a whole or not at all. `key` is that of a new segment.
    pub(crate) fn begin(&mut self, write: Write, key: String) -> Change {
        let mut rows: Vec<Row> = self.missing.iter().take(MAX_ROWS).cloned().collect();
        let is_complete = rows.len() == self.missing.len();
        let is_idle = |segment: &Segment| !segment.is_in_flight;
        let limit = MIN_SEGMENTS + self.runs.len() / RUNS_PER_SEGMENT;
        let merged = (self.segments.iter())
            .find(|(_, segment)| is_idle(segment) && segment.live_rows > 0)
            .filter(|_| self.segments.len() > limit)
            .map(|(number, segment)| (*number, segment));
        if let Some((number, segment)) = merged {
            let is_stored_here = |row: &&Row| self.runs.get(*row) == Some(&Some(number));
            rows.extend(segment.rows.iter().filter(is_stored_here).cloned());
        }
        let merged = merged.map(|(number, _)| number);
        let empty = self.segments.iter().filter(|(_, it)| is_idle(it) && it.live_rows == 0);
        let removed = empty.map(|(number, _)| *number).chain(merged);
        let removed: Vec<Number> = removed.take(MAX_REMOVED).collect();
        if rows.is_empty() && removed.is_empty() {
            return Change { is_complete, ..Change::default() };
        }
        let mut removes = Vec::new();
        for number in &removed {
            let segment = self.segments.get_mut(number).expect("just listed");
            segment.is_in_flight = true;
            removes.push(segment.key.clone());
        }
        let added = self.next;
        self.next += 1;
        self.drafts.insert(write, Draft { added, removed });
        let segment = (!rows.is_empty()).then(|| (key.clone(), rows.clone()));
        self.segments.insert(added, Segment { key, rows, live_rows: 0, is_in_flight: true });
        Change { segment, removes, is_complete }
    }

    /// Records that a write has been carried out.
    pub(crate) fn written(&mut self, write: Write) {
        let Some(Draft { added, removed }) = self.drafts.remove(&write) else { return };
        let rows = self.segments.get(&added).map(|segment| segment.rows.clone());
        let mut live_rows = 0;
        for row in rows.into_iter().flatten() {
            let Some(stored_in) = self.runs.get_mut(&row) else { continue };
            if stored_in.is_none_or(|stored_in| removed.contains(&stored_in)) {
                *stored_in = Some(added);
                live_rows += 1;
                self.missing.remove(&row);
            }
        }
        for number in removed {
            self.segments.remove(&number);
        }
        if let Some(segment) = self.segments.get_mut(&added) {
            segment.live_rows = live_rows;
            segment.is_in_flight = false;
            if segment.rows.is_empty() {
                self.segments.remove(&added);
            }
        }
    }

    /// Records that a write had no reply: it may have been carried out, or may still be. The segment
    /// that it adds counts as one to remove, and those that it removes as ones without their runs.
    pub(crate) fn lost(&mut self, write: Write) {
        let Some(Draft { added, removed }) = self.drafts.remove(&write) else { return };
        for number in removed {
            let Some(segment) = self.segments.get_mut(&number) else { continue };
            segment.is_in_flight = false;
            segment.live_rows = 0;
            for row in &segment.rows {
                if let Some(stored_in) =
                    self.runs.get_mut(row).filter(|stored_in| **stored_in == Some(number))
                {
                    *stored_in = None;
                    self.missing.insert(row.clone());
                }
            }
        }
        if let Some(segment) = self.segments.get_mut(&added) {
            segment.is_in_flight = false;
        }
    }
}
