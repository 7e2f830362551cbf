//! Events: the meaning of the log messages that the report uses.

use std::time::Duration;

use crate::line::{Line, field, number};

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Task {
    /// Identifier of its job.
    pub job: String,
    /// Occurrence, step and index within the job, as logged: `0/0/0`.
    pub position: String,
}

/// A run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// Task that ran.
    pub task: Task,
    /// Number of the run, as the planner assigned it.
    pub number: u32,
}

/// An event that a log message reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The planner has accepted a job.
    Accepted {
        /// Identifier of the job.
        job: String,
        /// Organisation that submitted it.
        organisation: String,
        /// Priority of the job.
        priority: u32,
        /// Time from acceptance within which the job should complete, as known at acceptance.
        objective: Duration,
    },
    /// An entry rejected a submission with status 429 or 503.
    Refused {
        /// Identifier of the job in the request's path.
        job: String,
        /// Answer that the entry logged.
        answer: String,
    },
    /// A minion has started a run.
    Started(Run),
    /// The planner has assigned a task to a worker.
    Placed {
        /// Identifier of the job.
        job: String,
        /// Run time that the planner expected.
        expected_run_time: Duration,
    },
    /// A run has ended.
    Ended {
        /// The run.
        run: Run,
        /// Worker on which it ran.
        worker: String,
        /// How it ended: `DONE`, `STOPPED`, ...
        ending: String,
        /// Run time.
        run_time: Duration,
        /// Processors that it used; an accelerator counts as eight.
        cores: f64,
        /// Processor seconds of work that were lost.
        lost_core_s: f64,
        /// Reason why it was stopped; empty if the message has none.
        cause: String,
        /// Job for which it was stopped; empty if there is none.
        beneficiary: String,
    },
    /// All tasks of a job are done. Its final state may not be durable yet.
    TasksDone {
        /// Identifier of the job.
        job: String,
        /// Time from acceptance within which the job should complete, as known at its end.
        objective: Option<Duration>,
    },
    /// The final state of a job is durable and visible to callers.
    Published {
        /// Identifier of the job.
        job: String,
        /// Final state: `COMPLETE`, `FAILED` or `CANCELLED`.
        state: String,
    },
    /// A job was cancelled.
    Cancelled(String),
    /// A job has failed.
    Failed(String),
    /// An entry has begun a term as planner.
    TermBegins(u64),
    /// The planner of a term has taken over and places work from now on.
    TermServes(u64),
    /// The agent of a worker has started.
    Zone {
        /// Name of the worker.
        worker: String,
        /// Zone of the worker.
        zone: String,
    },
    /// Any other message of the planner, which shows that it was alive.
    PlannerAlive,
    /// A message that the report does not use.
    Other,
}

fn task(name: &str) -> Option<Task> {
    let (job, position) = name.split_once('/')?;
    Some(Task { job: job.to_owned(), position: position.to_owned() })
}

fn run(text: &str) -> Option<Run> {
    Some(Run { task: task(field(text, "task")?)?, number: number(text, "run")? })
}

fn millis(text: &str, key: &str) -> Option<Duration> {
    number(text, key).map(Duration::from_millis)
}

/// Returns the value of a key as a number from 0 to `MAX`. Other values are ignored, since a single
/// NaN or infinite value would make every sum that includes it NaN or infinite.
fn finite(text: &str, key: &str) -> Option<f64> {
    const MAX: f64 = 1e15;
    number(text, key).filter(|value| (0.0..=MAX).contains(value))
}

/// Returns the event that a line reports.
pub fn parse(line: &Line<'_>) -> Event {
    let event = match line.part {
        "plan" => parse_planner(line.text).or(Some(Event::PlannerAlive)),
        "front" => parse_front(line.text),
        "agent" if line.text.contains(" started after ") => run(line.text).map(Event::Started),
        "member" => parse_member(line.text),
        _ => None,
    };
    event.unwrap_or(Event::Other)
}

fn parse_planner(text: &str) -> Option<Event> {
    if let Some(ending) = field(text, "ended") {
        return parse_end(text, ending);
    }
    if let Some(term) = number(text, "term") {
        return text.contains(" serves after ").then_some(Event::TermServes(term));
    }
    let job = field(text, "job")?.to_owned();
    if let Some(objective) = millis(text, "objective_ms").filter(|_| text.contains(" queue=")) {
        let organisation = field(text, "organisation")?.to_owned();
        return Some(Event::Accepted {
            job,
            organisation,
            priority: number(text, "priority")?,
            objective,
        });
    }
    if text.contains(" all tasks are done") {
        return Some(Event::TasksDone { job, objective: millis(text, "objective_ms") });
    }
    if text.ends_with(" is durable") {
        return Some(Event::Published { job, state: field(text, "state")?.to_owned() });
    }
    if text.ends_with(" cancelled") {
        return Some(Event::Cancelled(job));
    }
    if text.ends_with("; job fails") {
        return Some(Event::Failed(job));
    }
    let expected_run_time = millis(text, "expected_ms").filter(|_| text.contains(" placed "))?;
    Some(Event::Placed { job, expected_run_time })
}

fn parse_end(text: &str, ending: &str) -> Option<Event> {
    Some(Event::Ended {
        run: run(text)?,
        worker: field(text, "worker")?.to_owned(),
        ending: ending.to_owned(),
        run_time: millis(text, "ran_ms").unwrap_or_default(),
        cores: finite(text, "cores").unwrap_or_default(),
        lost_core_s: finite(text, "lost_core_s").unwrap_or_default(),
        cause: field(text, "cause").unwrap_or_default().to_owned(),
        beneficiary: field(text, "for").unwrap_or_default().to_owned(),
    })
}

fn parse_front(text: &str) -> Option<Event> {
    if text.ends_with(" begins here") {
        return number(text, "term").map(Event::TermBegins);
    }
    let is_refused = matches!(field(text, "status")?, "429" | "503");
    let mut words = text.split(' ').skip_while(|word| *word != "POST");
    let job = words.nth(1).filter(|_| is_refused)?.rsplit('/').next()?.to_owned();
    Some(Event::Refused { job, answer: field(text, "answer").unwrap_or_default().to_owned() })
}

fn parse_member(text: &str) -> Option<Event> {
    let (worker, zone) = (field(text, "agent")?.to_owned(), field(text, "zone")?.to_owned());
    Some(Event::Zone { worker, zone })
}
