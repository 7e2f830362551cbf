//! Log of runs: which workers the tasks of inherited jobs have to wait for.
//!
//! A worker that a new planner has no contact with may run tasks that an earlier planner has ordered
//! there. The log names them, so that no other task waits for that worker.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    RunSegment, RunsOn, State,
    task::{GroupKey, JobId, RunNumber, Task, WorkerName},
};
use sapphire_store::call::{Put, Revision};

use crate::{
    handover::Record,
    keys, pass,
    planner::Planner,
    state::{handover::Write, run_log::Row},
    table::{Entry, Table},
};

/// Numbers of the runs of groups, each with the term that wrote it.
type Numbers = BTreeMap<(JobId, GroupKey), BTreeSet<(Revision, RunNumber)>>;

impl Planner {
    /// Adds to a write of the handover record what the log of runs lacks. Returns whether the log then
    /// has all runs.
    pub(crate) fn log_runs(&mut self, write: Write, record: &mut Record) -> bool {
        let entries = &self.table.entries;
        self.run_log.settle(|job, change| is_durable(entries.get(job), change));
        let change = self.run_log.begin(write, keys::runs(self.term, write));
        if let Some((key, rows)) = change.segment {
            let value = Bytes::from(segment(&rows).encode_to_vec());
            record.puts.push(Put { key, value, lease: None });
        }
        record.removes.extend(change.removes);
        change.is_complete && (self.startup.are_runs_logged || self.startup.is_recovered())
    }

    /// Loads the segments of the log that were found. Without a complete log their rows say nothing.
    pub(crate) fn load_runs(&mut self, found: &[(&str, &Bytes)]) {
        let segments = self.decode_segments(found);
        let numbers = self.run_numbers(&segments);
        let startup = &self.startup;
        let is_live = |term: Revision, row: &Row| {
            let Some(key) = Self::group_key(&self.table, &row.task) else { return false };
            let is_later =
                |(other, number): &(Revision, RunNumber)| *other >= term && *number > row.number;
            let has_later = numbers.get(&key).is_some_and(|numbers| numbers.iter().any(is_later));
            startup.are_runs_logged && startup.members.contains_key(&row.worker) && !has_later
        };
        for (key, rows) in segments {
            let term = keys::term_of_runs(&key);
            self.run_log.load(key, rows, |row| is_live(term, row));
        }
    }

    /// Decodes segments. One that can't be decoded has no rows, and makes the log incomplete.
    fn decode_segments(&mut self, found: &[(&str, &Bytes)]) -> Vec<(String, Vec<Row>)> {
        let mut segments = Vec::new();
        for (key, value) in found {
            let rows = match RunSegment::decode(&value[..]) {
                Ok(segment) => rows(&segment),
                Err(error) => {
                    self.startup.are_runs_logged = false;
                    self.log(format!("segment {key} of the log of runs can't be decoded: {error}"));
                    Vec::new()
                }
            };
            segments.push(((*key).to_owned(), rows));
        }
        segments
    }

    /// Returns the numbers of the runs of each open group, with the terms that wrote them. A group is
    /// ordered again only after the end of its earlier runs, so that only the latest may go on. Numbers are
    /// counted anew if the list of workers is lost, and segments of before may be left.
    fn run_numbers(&self, segments: &[(String, Vec<Row>)]) -> Numbers {
        let mut numbers = Numbers::new();
        for (segment, rows) in segments {
            let term = keys::term_of_runs(segment);
            for row in rows {
                if let Some(key) = Self::group_key(&self.table, &row.task) {
                    numbers.entry(key).or_default().insert((term, row.number));
                }
            }
        }
        numbers
    }

    /// Returns whether a group of an inherited job has to wait, since tasks of it may be running on a
    /// worker that is not accounted for.
    ///
    /// Guards against a task that runs twice.
    pub(crate) fn is_held(&self, entry: &Entry, key: &GroupKey) -> bool {
        if !entry.is_inherited || self.startup.is_recovered() {
            return false;
        }
        if !self.startup.are_runs_logged {
            return true;
        }
        let tasks =
            entry.step(key.step).map_or(1, |step| if step.is_gang { step.tasks } else { 1 });
        let tasks = pass::group_tasks(&entry.job.id, key, tasks);
        self.run_log
            .range(tasks.start, tasks.end)
            .any(|row| self.startup.unaccounted.contains_key(&row.worker))
    }

    /// Removes the runs of a worker from the log that are not on it any more.
    pub(crate) fn retain_logged(&mut self, name: &str) {
        let worker = self.workers.get(name);
        let is_there = |row: &Row| {
            let run = worker.and_then(|worker| worker.runs.get(&row.task));
            run.is_some_and(|run| run.number == row.number)
        };
        self.run_log.retain_on(name, is_there);
    }

    /// Returns the group that a task belongs to, unless its job is unknown or the group is over.
    fn group_key(table: &Table, task: &Task) -> Option<(JobId, GroupKey)> {
        let entry = table.entries.get(&task.job)?;
        let key = GroupKey::of(task, entry.step(task.step)?.is_gang);
        let is_open = !entry.is_completed(key.occurrence)
            && entry.groups.get(&key).is_none_or(|group| !group.is_final());
        is_open.then(|| (task.job.clone(), key))
    }
}

/// Returns whether a change of a job is durable, or need not be: a cancelled job starts no task again,
/// and its progress is no longer written.
pub(crate) fn is_durable(entry: Option<&Entry>, change: u64) -> bool {
    entry.is_none_or(|it| it.committed_change >= change || it.state == State::Cancelled)
}

/// Returns a segment in the form in which it is stored.
fn segment(rows: &[Row]) -> RunSegment {
    let mut workers: BTreeMap<&WorkerName, RunsOn> = BTreeMap::new();
    for Row { task, number, worker } in rows {
        let on = workers.entry(worker).or_default();
        on.worker.clone_from(worker);
        on.runs.push(task.run(*number));
    }
    RunSegment { workers: workers.into_values().collect() }
}

/// Returns the rows of a stored segment.
fn rows(segment: &RunSegment) -> Vec<Row> {
    let rows = segment.workers.iter().flat_map(|on| {
        let row = |run: &sapphire_jobs::Run| {
            let (task, worker) = (Task::read(run), on.worker.clone());
            Row { task, number: run.run, worker }
        };
        on.runs.iter().map(row)
    });
    rows.collect()
}
