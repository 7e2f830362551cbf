//! HTTP/1.1 client of the worker's own interface. No other module knows its protocol.
//!
//! `POST /reset`, `POST /run`, `POST /renew`, `POST /checkpoint` and `POST /stop` take JSON.
//! `GET /tasks?after=VERSION` is a long poll: the worker answers as soon as its list of tasks has a
//! later version, or after some time without one.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard},
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

/// What is known of the tasks on the worker, shared by both threads.
struct Grants {
    /// Attempts that were started on the worker and have not been reported as ended.
    running: BTreeSet<id::Attempt>,
    /// Time at which the latest lease that the worker may have received ends.
    lease_until: Instant,
    /// The list of tasks can't be read, so that no lease is extended.
    is_unreachable: bool,
}

impl Grants {
    /// Notes a lease that is about to be sent. The call may be carried out until it times out.
    fn grant(&mut self, lease: Duration) {
        self.lease_until = self.lease_until.max(Instant::now() + CALL_TIMEOUT + lease);
    }
}

type Shared = Arc<Mutex<Grants>>;

fn lock(grants: &Shared) -> MutexGuard<'_, Grants> {
    grants.lock().expect("no thread panics while it holds this")
}

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
        let grants =
            Grants { running: BTreeSet::new(), lease_until: Instant::now(), is_unreachable: false };
        let grants = Arc::new(Mutex::new(grants));
        let client = Client {
            base: format!("http://{address}"),
            agent: agent(CALL_TIMEOUT),
            lease,
            grants: grants.clone(),
            events: events.clone(),
        };
        runtime::spawn("worker", move || client.serve(&queue))?;
        let watcher = Watcher {
            base: format!("http://{address}"),
            agent: agent(POLL_TIMEOUT),
            lease,
            grants,
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
    grants: Shared,
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

    /// Extends a lease. If the worker answers 404, the tasks no longer run, and its list says how they
    /// ended. If it doesn't, the worker has restarted.
    ///
    /// Guards against a gang that counts as interrupted although its tasks have just been done.
    fn renew(&self, attempt: &str, lease: Duration) {
        {
            let mut grants = lock(&self.grants);
            if grants.is_unreachable {
                return;
            }
            grants.grant(lease);
        }
        let body = json!({ "attempt": attempt, "lease_ms": millis(lease) });
        if let Err(ureq::Error::StatusCode(404)) = self.send("renew", &body) {
            let tasks = list(&self.agent, &self.base, 0).map_or_else(Vec::new, |it| it.tasks);
            match tasks.iter().find(|task| task.attempt == attempt) {
                Some(task) => report(&self.grants, &self.events, task),
                None => {
                    self.forget(attempt);
                    let reason = "the worker no longer runs it";
                    let _ = self.events.send(task_ended(attempt, None, reason));
                }
            }
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
        {
            let mut grants = lock(&self.grants);
            grants.running.insert(run.attempt.clone());
            grants.grant(run.lease);
        }
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
        let is_running = lock(&self.grants).running.contains(attempt);
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
        lock(&self.grants).running.remove(attempt);
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
    grants: Shared,
    events: Sender<event::Event>,
}

impl Watcher {
    /// Polls the list of tasks. After a failed poll, asks for what has changed since an earlier version,
    /// which the worker answers at once.
    fn serve(&self) {
        let mut version = 0_u64;
        let mut failing_since = None;
        loop {
            let after = if failing_since.is_none() { version } else { version.wrapping_sub(1) };
            match list(&self.agent, &self.base, after) {
                Some(tasks) => {
                    failing_since = None;
                    lock(&self.grants).is_unreachable = false;
                    // A lower version means that the worker has restarted; its earlier tasks no
                    // longer run.
                    if tasks.version < version {
                        self.report_all_lost("the worker restarted");
                    }
                    version = tasks.version;
                    tasks.tasks.iter().for_each(|task| report(&self.grants, &self.events, task));
                }
                None => {
                    let since = *failing_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= self.lease && self.await_leases() {
                        self.report_all_lost("the worker does not answer");
                    }
                    thread::sleep(RETRY_DELAY);
                }
            }
        }
    }

    /// Has no lease extended any more. Returns whether all have ended.
    ///
    /// Guards against tasks that are reported as ended while the worker goes on with them: calls that
    /// extend their leases may reach it although its list can't be read.
    fn await_leases(&self) -> bool {
        let mut grants = lock(&self.grants);
        grants.is_unreachable = true;
        Instant::now() >= grants.lease_until
    }

    /// Reports all running attempts as ended: the worker has restarted, or their leases have ended
    /// there.
    fn report_all_lost(&self, reason: &str) {
        let running = std::mem::take(&mut lock(&self.grants).running);
        for attempt in running {
            let _ = self.events.send(task_ended(&attempt, None, reason));
        }
    }
}

/// Requests the list of the tasks that have changed since a version.
fn list(agent: &ureq::Agent, base: &str, after: u64) -> Option<Tasks> {
    let url = format!("{base}/tasks?after={after}");
    let text = agent.get(url).call().ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

/// Reports the state of a task that has ended or has written a checkpoint.
fn report(grants: &Shared, events: &Sender<event::Event>, task: &Task) {
    let event = match task.state {
        State::Running => return,
        State::Checkpointed => event::Event::Checkpointed(task.attempt.clone()),
        State::Exited => task_ended(&task.attempt, Some(task.exit_code), &task.reason),
        State::Stopped => task_ended(&task.attempt, None, &task.reason),
    };
    if task.state != State::Checkpointed {
        lock(grants).running.remove(&task.attempt);
    }
    let _ = events.send(event);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
