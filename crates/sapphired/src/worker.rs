//! HTTP/1.1 client of the worker's own interface. No other module knows its protocol.
//!
//! `POST /reset`, `POST /run`, `POST /renew`, `POST /checkpoint` and `POST /stop` take JSON.
//! `GET /tasks?after=VERSION` is a long poll: the worker answers as soon as its list of tasks has a
//! later version, or after some time without one.

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

/// Timeout of a call other than the long poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of the long poll for the list of tasks.
const POLL_TIMEOUT: Duration = Duration::from_secs(40);
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A call to the worker.
#[derive(Debug)]
pub enum Call {
    /// Stop all tasks.
    Reset,
    /// Start the tasks of an attempt under a lease.
    Run(effect::Run),
    /// Extend the lease of an attempt to the given time from now.
    Renew(id::Attempt, Duration),
    /// Ask the tasks of an attempt for a checkpoint.
    Checkpoint(id::Attempt),
    /// Stop the tasks of an attempt.
    Stop(id::Attempt),
}

/// Attempts that were started on the worker and have not been reported as ended.
type Running = Arc<Mutex<BTreeSet<id::Attempt>>>;

/// Queue of calls to the worker. The ends of tasks and their checkpoints are reported as events.
pub struct Worker {
    calls: Sender<Call>,
}

impl Worker {
    /// Starts a thread that makes calls and one that watches the list of tasks.
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
        let client = Client {
            base: format!("http://{address}"),
            agent: agent(CALL_TIMEOUT),
            lease,
            running: running.clone(),
            events: events.clone(),
        };
        runtime::spawn("worker", move || client.serve(&queue))?;
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

    /// Queues a call; calls are made in the order in which they were queued.
    pub fn call(&self, call: Call) {
        self.calls.send(call).expect("the thread lives as long as the process");
    }
}

fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder().timeout_global(Some(timeout)).build().into()
}

fn task_ended(attempt: &str, exit_code: Option<i32>, reason: &str) -> event::Event {
    event::Event::TaskEnded(event::TaskEnd {
        attempt: attempt.to_owned(),
        exit_code,
        reason: reason.to_owned(),
    })
}

/// Makes the calls of the queue.
struct Client {
    base: String,
    agent: ureq::Agent,
    lease: Duration,
    running: Running,
    events: Sender<event::Event>,
}

impl Client {
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

    /// Extends a lease. If the worker answers 404, it has restarted or the lease has expired there:
    /// the tasks no longer run and are reported as ended.
    fn renew(&self, attempt: &str, lease: Duration) {
        let body = json!({ "attempt": attempt, "lease_ms": millis(lease) });
        if let Err(ureq::Error::StatusCode(404)) = self.send("renew", &body) {
            self.forget(attempt);
            let _ = self.events.send(task_ended(attempt, None, "the worker no longer runs it"));
        }
    }

    /// Stops all tasks on the worker. Repeats the call until the worker answers, since no task may
    /// start before that.
    fn reset(&self) {
        while !self.post("reset", &json!({})) {
            thread::sleep(RETRY_DELAY);
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
            self.abort_start(&run.attempt);
        }
    }

    /// Handles a start that failed or got no answer. The tasks may run nevertheless; they have
    /// certainly ended only after the worker has confirmed a stop, or after their lease has expired
    /// there.
    fn abort_start(&self, attempt: &str) {
        let started = Instant::now();
        while !self.post("stop", &json!({ "attempt": attempt })) {
            if started.elapsed() > self.lease {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        self.forget(attempt);
        let _ = self.events.send(task_ended(attempt, None, "the worker did not start it"));
    }

    fn stop(&self, attempt: &str) {
        let is_running =
            self.running.lock().expect("no thread panics while it holds this").contains(attempt);
        if !is_running {
            let _ = self.events.send(task_ended(attempt, None, "stopped"));
            return;
        }
        if self.post("stop", &json!({ "attempt": attempt })) {
            self.forget(attempt);
            let _ = self.events.send(task_ended(attempt, None, "stopped"));
        }
    }

    fn forget(&self, attempt: &str) {
        self.running.lock().expect("no thread panics while it holds this").remove(attempt);
    }
}

/// Answer to the long poll.
#[derive(Deserialize)]
struct Tasks {
    /// Grows with each change of the list, until the worker restarts.
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

/// Watches the worker's list of tasks and reports the ends of tasks and their checkpoints.
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
        let mut last_contact = Instant::now();
        loop {
            match self.poll(version) {
                Some(tasks) => {
                    last_contact = Instant::now();
                    // A lower version means that the worker has restarted; its earlier tasks no
                    // longer run.
                    if tasks.version < version {
                        self.report_all_lost("the worker restarted");
                    }
                    version = tasks.version;
                    tasks.tasks.iter().for_each(|task| self.report(task));
                }
                None => {
                    if last_contact.elapsed() > self.lease {
                        self.report_all_lost("the worker does not answer");
                    }
                    thread::sleep(RETRY_DELAY);
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
            State::Exited => task_ended(&task.attempt, Some(task.exit_code), &task.reason),
            State::Stopped => task_ended(&task.attempt, None, &task.reason),
        };
        if task.state != State::Checkpointed {
            let mut running = self.running.lock().expect("no thread panics while it holds this");
            running.remove(&task.attempt);
        }
        let _ = self.events.send(event);
    }

    /// Reports all running attempts as ended: the worker has restarted, or it has been unreachable
    /// for longer than a lease and has therefore stopped its tasks itself.
    fn report_all_lost(&self, reason: &str) {
        let mut running = self.running.lock().expect("no thread panics while it holds this");
        for attempt in std::mem::take(&mut *running) {
            let _ = self.events.send(task_ended(&attempt, None, reason));
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
