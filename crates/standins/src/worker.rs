//! Stand-in of a worker, which runs tasks under leases.
//!
//! The command of a task says what its program does: `sleep 200ms` exits with code 0 after that
//! time, `exit 3` exits at once with that code, and any other command, such as `run`, runs until
//! it is stopped.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tiny_http::Method;

use crate::serve::{self, Call, Reply};

/// Time after which a poll is answered although no task has changed.
const POLL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks for expired leases and programs that have exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct Task {
    tasks: u64,
    /// End of the lease.
    lease_expires_at: Instant,
    /// Time at which the program exits by itself, and its exit code.
    program_exit: Option<(Instant, i64)>,
    /// Version of the worker's state at which this task last changed.
    version: u64,
    state: &'static str,
    exit_code: i64,
    reason: &'static str,
}

#[derive(Default)]
struct State {
    version: u64,
    tasks: BTreeMap<String, Task>,
    started: u64,
    /// The next poll, or one that waits, is answered with an error.
    fails_poll: bool,
}

impl State {
    fn set_state(
        &mut self,
        attempt: &str,
        state: &'static str,
        exit_code: i64,
        reason: &'static str,
    ) {
        self.version += 1;
        let version = self.version;
        if let Some(task) = self.tasks.get_mut(attempt) {
            (task.state, task.exit_code, task.reason) = (state, exit_code, reason);
            task.version = version;
        }
    }

    /// Ends tasks whose program has exited or whose lease has expired; returns whether there were
    /// any.
    fn end_due(&mut self) -> bool {
        let now = Instant::now();
        let mut changes = Vec::new();
        for (attempt, task) in &self.tasks {
            if task.state == "exited" || task.state == "stopped" {
                continue;
            }
            if let Some((_, code)) = task.program_exit.filter(|(at, _)| *at <= now) {
                changes.push((attempt.clone(), "exited", code, "its program ended"));
            } else if task.lease_expires_at <= now {
                changes.push((attempt.clone(), "stopped", 0, "its lease lapsed"));
            }
        }
        for (attempt, state, code, reason) in &changes {
            self.set_state(attempt, state, *code, reason);
        }
        !changes.is_empty()
    }
}

/// The worker; clones share their state.
#[derive(Clone, Default)]
pub struct Worker {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Starts an idle worker that listens on an address, and returns at once.
    ///
    /// # Errors
    /// Returns an error if the process can't listen on the address.
    pub fn serve(address: &str) -> eyre::Result<()> {
        let worker = Worker::default();
        let ticker = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(CHECK_INTERVAL);
                if ticker.lock().end_due() {
                    ticker.shared.1.notify_all();
                }
            }
        });
        serve::serve(address, move |call| worker.handle(&call))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics while holding the lock")
    }

    fn handle(&self, call: &Call) -> Reply {
        let body = call.json();
        let attempt = body["attempt"].as_str().unwrap_or_default().to_owned();
        let reply = match (&call.method, call.path.as_str()) {
            (Method::Get, "/tasks") => return self.poll(call.number("after").unwrap_or(0)),
            (Method::Post, "/reset") => {
                let mut state = self.lock();
                let attempts: Vec<String> = state.tasks.keys().cloned().collect();
                for attempt in attempts {
                    state.set_state(&attempt, "stopped", 0, "reset");
                }
                Reply::new(200, "reset")
            }
            (Method::Post, "/fail-poll") => {
                self.lock().fails_poll = true;
                Reply::new(200, "the next poll fails")
            }
            (Method::Post, "/run") => self.run(&attempt, &body),
            (Method::Post, "/renew") => self.renew(&attempt, &body),
            (Method::Post, "/checkpoint") => {
                self.lock().set_state(&attempt, "checkpointed", 0, "");
                Reply::new(200, "checkpointed")
            }
            (Method::Post, "/stop") => {
                self.lock().set_state(&attempt, "stopped", 0, "stopped");
                Reply::new(200, "stopped")
            }
            _ => Reply::new(404, "no such path"),
        };
        self.shared.1.notify_all();
        reply
    }

    fn run(&self, attempt: &str, body: &Value) -> Reply {
        let mut state = self.lock();
        if state.tasks.contains_key(attempt) {
            return Reply::new(409, "this attempt was run before");
        }
        let now = Instant::now();
        let lease = Duration::from_millis(body["lease_ms"].as_u64().unwrap_or(1_000));
        state.version += 1;
        state.started += 1;
        let task = Task {
            tasks: body["tasks"].as_u64().unwrap_or(1),
            lease_expires_at: now + lease,
            program_exit: parse_program(body["command"].as_str().unwrap_or_default())
                .map(|(t, c)| (now + t, c)),
            version: state.version,
            state: "running",
            exit_code: 0,
            reason: "",
        };
        state.tasks.insert(attempt.to_owned(), task);
        Reply::new(200, "running")
    }

    fn renew(&self, attempt: &str, body: &Value) -> Reply {
        let lease = Duration::from_millis(body["lease_ms"].as_u64().unwrap_or(0));
        match self.lock().tasks.get_mut(attempt) {
            Some(task) if task.state != "exited" && task.state != "stopped" => {
                task.lease_expires_at = Instant::now() + lease;
                Reply::new(200, "renewed")
            }
            _ => Reply::new(404, "not running"),
        }
    }

    fn poll(&self, after: u64) -> Reply {
        let deadline = Instant::now() + POLL_TIMEOUT;
        let mut state = self.lock();
        loop {
            if std::mem::take(&mut state.fails_poll) {
                return Reply::new(500, "failed as it was told");
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if state.version != after || remaining.is_zero() {
                return Reply::new(200, list(&state, after).to_string());
            }
            let (next, _) = self
                .shared
                .1
                .wait_timeout(state, remaining)
                .expect("no thread panics while holding the lock");
            state = next;
        }
    }
}

fn list(state: &State, after: u64) -> Value {
    let later = state.tasks.iter().filter(|(_, task)| task.version > after);
    let tasks: Vec<Value> = later
        .map(|(attempt, task)| {
            json!({
                "attempt": attempt,
                "tasks": task.tasks,
                "state": task.state,
                "exit_code": task.exit_code,
                "reason": task.reason,
            })
        })
        .collect();
    json!({ "version": state.version, "started": state.started, "tasks": tasks })
}

/// Run time and exit code of a command's program; `None` if it runs until it is stopped.
fn parse_program(command: &str) -> Option<(Duration, i64)> {
    match command.split_once(' ') {
        Some(("sleep", time)) => {
            let millis = time.strip_suffix("ms").and_then(|number| number.parse().ok());
            Some((Duration::from_millis(millis.unwrap_or(0)), 0))
        }
        Some(("exit", code)) => Some((Duration::ZERO, code.parse().unwrap_or(1))),
        _ => None,
    }
}
