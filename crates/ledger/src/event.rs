//! What a line tells.

use std::time::Duration;

use crate::line::{Line, field, number};

/// A task: its job, occurrence, step and index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Task {
    /// Its job.
    pub job: String,
    /// The rest, as logged.
    pub place: String,
}

/// A run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// Of which task.
    pub task: Task,
    /// Its number.
    pub number: u32,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The planner has taken in a job.
    Accepted {
        /// The job.
        job: String,
        /// Its organisation.
        organisation: String,
        /// Its priority.
        priority: u32,
        /// Time within which its caller wants it, as far as known then.
        objective: Duration,
    },
    /// A caller was turned away.
    Refused {
        /// The job, as the caller named it.
        job: String,
        /// The answer.
        answer: String,
    },
    /// A minion has started a run.
    Started(Run),
    /// A run was placed; what was expected of it then.
    Placed {
        /// The job.
        job: String,
        /// Expected time.
        expected: Duration,
    },
    /// A run has ended.
    Ended {
        /// Which.
        run: Run,
        /// Where it ran.
        worker: String,
        /// How: `DONE`, `STOPPED`, ...
        ending: String,
        /// How long it ran.
        ran: Duration,
        /// Processors that it took; an accelerator counts as eight.
        cores: f64,
        /// Processor seconds that are lost.
        lost: f64,
        /// Why it was stopped; empty when it was not.
        cause: String,
        /// The job for which it was stopped; empty when there is none.
        beneficiary: String,
    },
    /// All tasks of a job are done; the time within which its caller wanted it, as known by then.
    Done {
        /// The job.
        job: String,
        /// That time.
        objective: Option<Duration>,
    },
    /// A job's end is durable and shown.
    Shown {
        /// The job.
        job: String,
        /// `COMPLETE`, `FAILED` or `CANCELLED`.
        state: String,
    },
    /// A job was cancelled.
    Cancelled(String),
    /// A job has failed.
    Failed(String),
    /// A planner begins its term.
    TermBegins(u64),
    /// A planner places work from now on.
    TermServes(u64),
    /// A worker's agent has started in a zone.
    Zone {
        /// The worker.
        worker: String,
        /// Its zone.
        zone: String,
    },
    /// Anything else that the planner says; it is alive.
    PlannerAlive,
    /// Nothing of interest here.
    Other,
}

fn task(name: &str) -> Option<Task> {
    let (job, place) = name.split_once('/')?;
    Some(Task { job: job.to_owned(), place: place.to_owned() })
}

fn run(text: &str) -> Option<Run> {
    Some(Run { task: task(field(text, "task")?)?, number: number(text, "run")? })
}

fn millis(text: &str, key: &str) -> Option<Duration> {
    number(text, key).map(Duration::from_millis)
}

/// A figure that can be summed up: one that is no number would make every sum it enters none.
fn figure(text: &str, key: &str) -> Option<f64> {
    const LARGEST: f64 = 1e15;
    number(text, key).filter(|figure| (0.0..=LARGEST).contains(figure))
}

/// Reads what a line tells.
pub fn read(line: &Line<'_>) -> Event {
    let event = match line.part {
        "plan" => planner(line.text).or(Some(Event::PlannerAlive)),
        "front" => front(line.text),
        "agent" if line.text.contains(" started after ") => run(line.text).map(Event::Started),
        "member" => zone(line.text),
        _ => None,
    };
    event.unwrap_or(Event::Other)
}

fn planner(text: &str) -> Option<Event> {
    if let Some(ending) = field(text, "ended") {
        return ended(text, ending);
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
        return Some(Event::Done { job, objective: millis(text, "objective_ms") });
    }
    if text.ends_with(" is durable") {
        return Some(Event::Shown { job, state: field(text, "state")?.to_owned() });
    }
    if text.ends_with(" cancelled") {
        return Some(Event::Cancelled(job));
    }
    if text.ends_with("; job fails") {
        return Some(Event::Failed(job));
    }
    let expected = millis(text, "expected_ms").filter(|_| text.contains(" placed "))?;
    Some(Event::Placed { job, expected })
}

fn ended(text: &str, ending: &str) -> Option<Event> {
    Some(Event::Ended {
        run: run(text)?,
        worker: field(text, "worker")?.to_owned(),
        ending: ending.to_owned(),
        ran: millis(text, "ran_ms").unwrap_or_default(),
        cores: figure(text, "cores").unwrap_or_default(),
        lost: figure(text, "lost_core_s").unwrap_or_default(),
        cause: field(text, "cause").unwrap_or_default().to_owned(),
        beneficiary: field(text, "for").unwrap_or_default().to_owned(),
    })
}

fn front(text: &str) -> Option<Event> {
    if text.ends_with(" begins here") {
        return number(text, "term").map(Event::TermBegins);
    }
    let is_refused = matches!(field(text, "status")?, "429" | "503");
    let mut words = text.split(' ').skip_while(|word| *word != "POST");
    let job = words.nth(1).filter(|_| is_refused)?.rsplit('/').next()?.to_owned();
    Some(Event::Refused { job, answer: field(text, "answer").unwrap_or_default().to_owned() })
}

fn zone(text: &str) -> Option<Event> {
    let (worker, zone) = (field(text, "agent")?.to_owned(), field(text, "zone")?.to_owned());
    Some(Event::Zone { worker, zone })
}
