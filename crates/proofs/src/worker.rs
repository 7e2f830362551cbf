//! Fake worker and minion in virtual time. They outlive their agent's process.

use std::{collections::BTreeMap, time::Duration};

use sapphire_agent::{effect, event};
use sapphire_wire::id;

/// One gang's tasks on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Accelerators of all its tasks here.
    pub accelerators: u32,
    /// When it started.
    pub started: Duration,
    /// When its lease lapses.
    pub until: Duration,
    /// When its program ends, and with which code.
    pub ends: Option<(Duration, i32)>,
    /// When it ended, if it has.
    pub ended: Option<Duration>,
    /// It ended by its own program.
    pub has_exited: bool,
}

/// A worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Tasks by attempt, ended ones included.
    pub tasks: BTreeMap<id::Attempt, Task>,
    /// It ignores checkpoint and stop requests of tasks until their lease lapses.
    pub is_deaf: bool,
    /// Every task that it starts fails at once.
    pub is_broken: bool,
}

impl Worker {
    /// Starts tasks; what a real worker refuses as a repeat is a fault of ours here.
    pub fn run(&mut self, now: Duration, run: &effect::Run) {
        let task = Task {
            accelerators: run.accelerators,
            started: now,
            until: now + run.lease,
            ends: program(if self.is_broken { "exit 9" } else { &run.command })
                .map(|(time, code)| (now + time, code)),
            ended: None,
            has_exited: false,
        };
        let before = self.tasks.insert(run.attempt.clone(), task);
        assert!(before.is_none(), "attempt {} was started twice on one worker", run.attempt);
    }

    /// Extends a lease; returns false when nothing runs.
    pub fn renew(&mut self, now: Duration, attempt: &str, lease: Duration) -> bool {
        match self.tasks.get_mut(attempt) {
            Some(task) if task.ended.is_none() => {
                task.until = now + lease;
                true
            }
            _ => false,
        }
    }

    /// Stops tasks; returns whether they have stopped.
    pub fn stop(&mut self, now: Duration, attempt: &str) -> bool {
        let is_deaf = self.is_deaf;
        match self.tasks.get_mut(attempt) {
            Some(task) if task.ended.is_none() && is_deaf => false,
            Some(task) => {
                task.ended.get_or_insert(now);
                true
            }
            None => true,
        }
    }

    /// Stops everything, as after a power cut or at the agent's word.
    pub fn stop_all(&mut self, now: Duration) {
        for task in self.tasks.values_mut() {
            task.ended.get_or_insert(now);
        }
    }

    /// Ends programs that are done and tasks whose lease has lapsed; returns what ended.
    pub fn step(&mut self, now: Duration) -> Vec<event::TaskEnd> {
        let mut ends = Vec::new();
        for (attempt, task) in &mut self.tasks {
            if task.ended.is_some() {
                continue;
            }
            let exit = task.ends.filter(|(at, _)| *at <= now).map(|(_, code)| code);
            if exit.is_none() && task.until > now {
                continue;
            }
            task.ended = Some(now);
            task.has_exited = exit.is_some();
            let reason = if exit.is_some() { "its program ended" } else { "its lease lapsed" };
            let (attempt, reason) = (attempt.clone(), reason.to_owned());
            ends.push(event::TaskEnd { attempt, exit_code: exit, reason });
        }
        ends
    }

    /// Accelerators in use.
    pub fn in_use(&self) -> u32 {
        let running = self.tasks.values().filter(|task| task.ended.is_none());
        running.map(|task| task.accelerators).sum()
    }
}

/// How long a program runs and its exit code: `sleep 200ms`, `exit 3`; none for `run`.
fn program(command: &str) -> Option<(Duration, i32)> {
    match command.split_once(' ') {
        Some(("sleep", time)) => {
            let millis = time.strip_suffix("ms").and_then(|number| number.parse().ok());
            Some((Duration::from_millis(millis.unwrap_or(0)), 0))
        }
        Some(("exit", code)) => Some((Duration::from_millis(10), code.parse().unwrap_or(1))),
        _ => None,
    }
}
