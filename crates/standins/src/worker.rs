//! A worker: runs tasks under leases. A task's program is `sleep 200ms`, `exit 3` or `run`.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tiny_http::Method;

use crate::serve::{self, Call, Reply};

/// Longest time a poll is held.
const POLL_HOLD: Duration = Duration::from_secs(30);
/// How often leases and programs are looked at.
const STEP: Duration = Duration::from_millis(10);

struct Task {
    tasks: u64,
    until: Instant,
    ends: Option<(Instant, i64)>,
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
}

impl State {
    fn alter(&mut self, attempt: &str, state: &'static str, exit_code: i64, reason: &'static str) {
        self.version += 1;
        let version = self.version;
        if let Some(task) = self.tasks.get_mut(attempt) {
            (task.state, task.exit_code, task.reason) = (state, exit_code, reason);
            task.version = version;
        }
    }

    fn step(&mut self) -> bool {
        let now = Instant::now();
        let mut changes = Vec::new();
        for (attempt, task) in &self.tasks {
            if task.state == "exited" || task.state == "stopped" {
                continue;
            }
            if let Some((_, code)) = task.ends.filter(|(at, _)| *at <= now) {
                changes.push((attempt.clone(), "exited", code, "its program ended"));
            } else if task.until <= now {
                changes.push((attempt.clone(), "stopped", 0, "its lease lapsed"));
            }
        }
        for (attempt, state, code, reason) in &changes {
            self.alter(attempt, state, *code, reason);
        }
        !changes.is_empty()
    }
}

/// The worker.
#[derive(Clone, Default)]
pub struct Worker {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Serves an idle worker.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn serve(address: &str) -> eyre::Result<()> {
        let worker = Worker::default();
        let stepping = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                if stepping.lock().step() {
                    stepping.shared.1.notify_all();
                }
            }
        });
        serve::serve(address, move |call| worker.handle(&call))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics while it holds this")
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
                    state.alter(&attempt, "stopped", 0, "reset");
                }
                Reply::new(200, "reset")
            }
            (Method::Post, "/run") => self.run(&attempt, &body),
            (Method::Post, "/renew") => self.renew(&attempt, &body),
            (Method::Post, "/checkpoint") => {
                self.lock().alter(&attempt, "checkpointed", 0, "");
                Reply::new(200, "checkpointed")
            }
            (Method::Post, "/stop") => {
                self.lock().alter(&attempt, "stopped", 0, "stopped");
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
            until: now + lease,
            ends: program(body["command"].as_str().unwrap_or_default()).map(|(t, c)| (now + t, c)),
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
                task.until = Instant::now() + lease;
                Reply::new(200, "renewed")
            }
            _ => Reply::new(404, "not running"),
        }
    }

    fn poll(&self, after: u64) -> Reply {
        let until = Instant::now() + POLL_HOLD;
        let mut state = self.lock();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if state.version != after || left.is_zero() {
                return Reply::new(200, list(&state, after).to_string());
            }
            let (next, _) =
                self.shared.1.wait_timeout(state, left).expect("no thread panics with the lock");
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

/// How long a program runs and its exit code; none for one that runs until it is stopped.
fn program(command: &str) -> Option<(Duration, i64)> {
    match command.split_once(' ') {
        Some(("sleep", time)) => {
            let millis = time.strip_suffix("ms").and_then(|number| number.parse().ok());
            Some((Duration::from_millis(millis.unwrap_or(0)), 0))
        }
        Some(("exit", code)) => Some((Duration::ZERO, code.parse().unwrap_or(1))),
        _ => None,
    }
}
