//! The worker's own interface over HTTP/1.1: the one module that knows its protocol.
//!
//! `POST /reset`, `POST /run`, `POST /renew`, `POST /checkpoint` and `POST /stop` take JSON;
//! `GET /tasks?after=VERSION` answers when there is a later version, or after a while.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender, unbounded};
use sapphire_agent::{effect, event};
use sapphire_wire::id;
use serde::Deserialize;
use serde_json::json;

use crate::runtime;

const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const POLL_TIMEOUT: Duration = Duration::from_secs(40);
/// Wait after a call that failed.
const RETRY: Duration = Duration::from_millis(200);

/// One call to the worker.
#[derive(Debug)]
pub enum Call {
    /// Stop everything.
    Reset,
    /// Start tasks.
    Run(effect::Run),
    /// Extend a lease.
    Renew(id::Attempt, Duration),
    /// Ask for a checkpoint.
    Checkpoint(id::Attempt),
    /// Stop tasks.
    Stop(id::Attempt),
}

/// Attempts that the worker is thought to run.
type Running = Arc<Mutex<BTreeSet<id::Attempt>>>;

/// Takes calls to the worker and reports how tasks end.
pub struct Worker {
    calls: Sender<Call>,
}

impl Worker {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(
        address: &str,
        lease: Duration,
        events: &Sender<event::Event>,
    ) -> eyre::Result<Self> {
        let (calls, queue) = unbounded();
        let running = Running::default();
        let caller = Caller {
            base: format!("http://{address}"),
            agent: agent(CALL_TIMEOUT),
            lease,
            running: running.clone(),
            events: events.clone(),
        };
        runtime::spawn("worker", move || caller.serve(&queue))?;
        let watcher = Watcher {
            base: format!("http://{address}"),
            agent: agent(POLL_TIMEOUT),
            lease,
            running,
            events: events.clone(),
        };
        runtime::spawn("worker-watch", move || watcher.serve())?;
        Ok(Worker { calls })
    }

    /// Makes a call, in order.
    pub fn call(&self, call: Call) {
        self.calls.send(call).expect("the thread lives as long as the process");
    }
}

fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder().timeout_global(Some(timeout)).build().into()
}

fn ended(attempt: &str, exit_code: Option<i32>, reason: &str) -> event::Event {
    event::Event::TaskEnded(event::TaskEnd {
        attempt: attempt.to_owned(),
        exit_code,
        reason: reason.to_owned(),
    })
}

struct Caller {
    base: String,
    agent: ureq::Agent,
    lease: Duration,
    running: Running,
    events: Sender<event::Event>,
}

impl Caller {
    fn serve(&self, queue: &Receiver<Call>) {
        for call in queue {
            match call {
                Call::Reset => self.reset(),
                Call::Run(run) => self.run(&run),
                Call::Renew(attempt, lease) => {
                    self.renew(&attempt, lease);
                }
                Call::Checkpoint(attempt) => {
                    self.post("checkpoint", &json!({ "attempt": attempt }));
                }
                Call::Stop(attempt) => self.stop(&attempt),
            }
        }
    }

    fn post(&self, path: &str, body: &serde_json::Value) -> bool {
        self.send(path, body).is_ok()
    }

    fn send(&self, path: &str, body: &serde_json::Value) -> Result<(), ureq::Error> {
        let url = format!("{}/{path}", self.base);
        let request = self.agent.post(url).header("Content-Type", "application/json");
        request.send(body.to_string().as_bytes()).map(|_| ())
    }

    /// A worker that does not know the tasks has restarted, or their lease lapsed there.
    fn renew(&self, attempt: &str, lease: Duration) {
        let body = json!({ "attempt": attempt, "lease_ms": millis(lease) });
        if let Err(ureq::Error::StatusCode(404)) = self.send("renew", &body) {
            self.forget(attempt);
            let _ = self.events.send(ended(attempt, None, "the worker no longer runs it"));
        }
    }

    /// Repeats until the worker answers: before that nothing here may start.
    fn reset(&self) {
        while !self.post("reset", &json!({})) {
            thread::sleep(RETRY);
        }
        let _ = self.events.send(event::Event::WorkerReset);
    }

    fn run(&self, run: &effect::Run) {
        self.running
            .lock()
            .expect("no thread panics while it holds this")
            .insert(run.attempt.clone());
        let body = json!({
            "attempt": run.attempt,
            "tasks": run.tasks,
            "accelerators": run.accelerators,
            "command": run.command,
            "lease_ms": millis(run.lease),
        });
        if !self.post("run", &body) {
            self.give_up(&run.attempt);
        }
    }

    /// The start got no answer, so the tasks may run: they have ended for certain only when the
    /// worker says that they are stopped, or when their lease has lapsed there.
    fn give_up(&self, attempt: &str) {
        let since = Instant::now();
        while !self.post("stop", &json!({ "attempt": attempt })) {
            if since.elapsed() > self.lease {
                break;
            }
            thread::sleep(RETRY);
        }
        self.forget(attempt);
        let _ = self.events.send(ended(attempt, None, "the worker did not start it"));
    }

    fn stop(&self, attempt: &str) {
        let is_running =
            self.running.lock().expect("no thread panics while it holds this").contains(attempt);
        if !is_running {
            let _ = self.events.send(ended(attempt, None, "stopped"));
            return;
        }
        if self.post("stop", &json!({ "attempt": attempt })) {
            self.forget(attempt);
            let _ = self.events.send(ended(attempt, None, "stopped"));
        }
    }

    fn forget(&self, attempt: &str) {
        self.running.lock().expect("no thread panics while it holds this").remove(attempt);
    }
}

#[derive(Deserialize)]
struct Tasks {
    version: u64,
    tasks: Vec<Task>,
}

#[derive(Deserialize)]
struct Task {
    attempt: id::Attempt,
    state: State,
    #[serde(default)]
    exit_code: i32,
    #[serde(default)]
    reason: String,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Running,
    Checkpointed,
    Exited,
    Stopped,
}

struct Watcher {
    base: String,
    agent: ureq::Agent,
    lease: Duration,
    running: Running,
    events: Sender<event::Event>,
}

impl Watcher {
    fn serve(&self) {
        let mut version = 0;
        let mut heard = Instant::now();
        loop {
            match self.poll(version) {
                Some(tasks) => {
                    heard = Instant::now();
                    // A lower version: the worker restarted and runs nothing it ran before.
                    if tasks.version < version {
                        self.lose_all("the worker restarted");
                    }
                    version = tasks.version;
                    tasks.tasks.iter().for_each(|task| self.report(task));
                }
                None => {
                    if heard.elapsed() > self.lease {
                        self.lose_all("the worker does not answer");
                    }
                    thread::sleep(RETRY);
                }
            }
        }
    }

    fn poll(&self, after: u64) -> Option<Tasks> {
        let url = format!("{}/tasks?after={after}", self.base);
        let text = self.agent.get(url).call().ok()?.body_mut().read_to_string().ok()?;
        serde_json::from_str(&text).ok()
    }

    fn report(&self, task: &Task) {
        let event = match task.state {
            State::Running => return,
            State::Checkpointed => event::Event::Checkpointed(task.attempt.clone()),
            State::Exited => ended(&task.attempt, Some(task.exit_code), &task.reason),
            State::Stopped => ended(&task.attempt, None, &task.reason),
        };
        if task.state != State::Checkpointed {
            let mut running = self.running.lock().expect("no thread panics while it holds this");
            running.remove(&task.attempt);
        }
        let _ = self.events.send(event);
    }

    /// The worker can't be reached for longer than a lease: it has stopped its tasks itself.
    fn lose_all(&self, reason: &str) {
        let mut running = self.running.lock().expect("no thread panics while it holds this");
        for attempt in std::mem::take(&mut *running) {
            let _ = self.events.send(ended(&attempt, None, reason));
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
