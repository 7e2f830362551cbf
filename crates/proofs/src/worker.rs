//! Fake worker in virtual time. Its tasks outlive the agent process.

use std::{collections::BTreeMap, time::Duration};

use sapphire_agent::{effect, event};
use sapphire_wire::id;

/// Tasks of one attempt on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Accelerators of all these tasks together.
    pub accelerators: u32,
    /// When the tasks started.
    pub started: Duration,
    /// When their lease expires.
    pub lease_until: Duration,
    /// When their program exits by itself and with which code; `None` if it runs until stopped.
    pub scheduled_exit: Option<(Duration, i32)>,
    /// When the tasks ended, if they have.
    pub ended: Option<Duration>,
    /// Whether they ended because their program exited.
    pub has_exited: bool,
}

/// Worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Tasks by attempt, including those that have ended.
    pub tasks: BTreeMap<id::Attempt, Task>,
    /// Whether it ignores requests to checkpoint or stop tasks; they end when their lease expires.
    pub ignores_stops: bool,
    /// Whether every task that it starts fails within milliseconds.
    pub fails_tasks: bool,
}

impl Worker {
    /// Starts tasks. Panics when the attempt was started before: a real worker would refuse that,
    /// but an agent must not order it.
    pub fn run(&mut self, now: Duration, run: &effect::Run) {
        let task = Task {
            accelerators: run.accelerators,
            started: now,
            lease_until: now + run.lease,
            scheduled_exit: parse_command(if self.fails_tasks { "exit 9" } else { &run.command })
                .map(|(time, code)| (now + time, code)),
            ended: None,
            has_exited: false,
        };
        let before = self.tasks.insert(run.attempt.clone(), task);
        assert!(before.is_none(), "attempt {} was started twice on one worker", run.attempt);
    }

    /// Extends the lease of an attempt's tasks; returns false when none are running.
    pub fn renew(&mut self, now: Duration, attempt: &str, lease: Duration) -> bool {
        match self.tasks.get_mut(attempt) {
            Some(task) if task.ended.is_none() => {
                task.lease_until = now + lease;
                true
            }
            _ => false,
        }
    }

    /// Stops an attempt's tasks; returns whether they have stopped.
    pub fn stop(&mut self, now: Duration, attempt: &str) -> bool {
        let ignores_stops = self.ignores_stops;
        match self.tasks.get_mut(attempt) {
            Some(task) if task.ended.is_none() && ignores_stops => false,
            Some(task) => {
                task.ended.get_or_insert(now);
                true
            }
            None => true,
        }
    }

    /// Stops all tasks, as when the VM is lost or the agent resets the worker.
    pub fn stop_all(&mut self, now: Duration) {
        for task in self.tasks.values_mut() {
            task.ended.get_or_insert(now);
        }
    }

    /// Ends the tasks whose program exits or whose lease has expired, and returns their ends.
    pub fn advance(&mut self, now: Duration) -> Vec<event::TaskEnd> {
        let mut task_ends = Vec::new();
        for (attempt, task) in &mut self.tasks {
            if task.ended.is_some() {
                continue;
            }
            let exit = task.scheduled_exit.filter(|(at, _)| *at <= now).map(|(_, code)| code);
            if exit.is_none() && task.lease_until > now {
                continue;
            }
            task.ended = Some(now);
            task.has_exited = exit.is_some();
            let reason = if exit.is_some() { "its program ended" } else { "its lease lapsed" };
            let (attempt, reason) = (attempt.clone(), reason.to_owned());
            task_ends.push(event::TaskEnd { attempt, exit_code: exit, reason });
        }
        task_ends
    }

    /// Accelerators in use.
    pub fn in_use(&self) -> u32 {
        let running = self.tasks.values().filter(|task| task.ended.is_none());
        running.map(|task| task.accelerators).sum()
    }
}

/// Run time and exit code of a command such as `sleep 200ms` or `exit 3`; `None` for `run`, which
/// runs until it is stopped.
fn parse_command(command: &str) -> Option<(Duration, i32)> {
    match command.split_once(' ') {
        Some(("sleep", time)) => {
            let millis = time.strip_suffix("ms").and_then(|number| number.parse().ok());
            Some((Duration::from_millis(millis.unwrap_or(0)), 0))
        }
        Some(("exit", code)) => Some((Duration::from_millis(10), code.parse().unwrap_or(1))),
        _ => None,
    }
}
