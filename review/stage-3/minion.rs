//! A minion, as PROTOCOL.md describes it. The spec of a job says how its tasks run: `ms=N` is the run
//! time of a task.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::{self, Json},
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest lease, in ms.
const HOLD_MAX_MS: u64 = 10_000;
/// Ends that one list contains.
const LISTED_ENDS: usize = 500;
const TICK: Duration = Duration::from_millis(5);

/// What a minion is and where it is reached.
#[derive(Clone, Debug, Default)]
pub struct Options {
    pub id: String,
    /// Address at which it takes calls.
    pub address: String,
    /// Address of the agent beside it.
    pub agent: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// A run that began, for the checks.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

/// Number of runs that are written to the record, so that it stays readable.
const RECORDED_RUNS: usize = 1_000;

/// All runs of all minions.
#[derive(Clone)]
pub struct History {
    starts: Arc<Mutex<Vec<Start>>>,
    record: Record,
}

impl History {
    pub fn new(record: &Record) -> History {
        History { starts: Arc::default(), record: record.clone() }
    }

    fn begin(&self, start: Start) -> usize {
        let mut starts = self.starts.lock().unwrap();
        if starts.len() < RECORDED_RUNS {
            let Start { task, run, minion, .. } = &start;
            self.record.line(&format!("minion={minion} task={task} run={run} starts"));
        }
        starts.push(start);
        starts.len() - 1
    }

    fn end(&self, index: usize, ms: u64, how: &'static str) {
        let start = &mut self.starts.lock().unwrap()[index];
        (start.ended_ms, start.how) = (Some(ms), how);
        if index < RECORDED_RUNS {
            let Start { task, run, minion, .. } = &start;
            self.record.line(&format!("minion={minion} task={task} run={run} ends {how}"));
        }
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }

    /// Number of runs of a job that began, and of those that are done.
    pub fn count(&self, job: &str) -> (usize, usize) {
        let starts = self.starts.lock().unwrap();
        let of_job = starts.iter().filter(|start| start.task.split('.').next() == Some(job));
        let done = of_job.clone().filter(|start| start.how == "done").count();
        (of_job.count(), done)
    }
}

struct Run {
    number: u64,
    begin: Instant,
    length: Duration,
    /// Position in the history.
    index: usize,
}

struct Life {
    options: Options,
    born_unix_ms: u64,
    begin: Instant,
    token: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    deadline_ms: u64,
    /// Time from its start to its first heartbeat.
    first_heartbeat: Duration,
    beats: u64,
}

/// One or more lives of a minion at one address.
#[derive(Clone)]
pub struct Minion {
    life: Arc<(Mutex<Option<Life>>, Condvar)>,
    history: History,
    record: Record,
}

impl Minion {
    /// Starts a minion: its calls, its clock and its heartbeats.
    pub fn start(
        options: Options,
        born_unix_ms: u64,
        history: &History,
        record: &Record,
    ) -> io::Result<Minion> {
        let minion = Minion {
            life: Arc::new((Mutex::new(None), Condvar::new())),
            history: history.clone(),
            record: record.clone(),
        };
        minion.begin_life(options.clone(), born_unix_ms, Duration::ZERO);
        let served = minion.clone();
        http::serve(&options.address, move |request| served.answer(&request))?;
        let ticking = minion.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        let beating = minion.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(minion)
    }

    fn begin_life(&self, options: Options, born_unix_ms: u64, first_heartbeat: Duration) {
        self.record.line(&format!("minion={} born={born_unix_ms} starts", options.id));
        *self.life.0.lock().unwrap() = Some(Life {
            options,
            born_unix_ms,
            begin: Instant::now(),
            token: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            deadline_ms: 0,
            first_heartbeat,
            beats: 0,
        });
    }

    /// Ends the present life with all that runs.
    pub fn crash(&self) -> Option<Options> {
        let life = self.life.0.lock().unwrap().take()?;
        self.record.line(&format!("minion={} crashes", life.options.id));
        for run in life.runs.values() {
            self.history.end(run.index, self.record.ms(), "crashed");
        }
        self.life.1.notify_all();
        Some(life.options)
    }

    /// Begins another life at the same address.
    pub fn restart(&self, options: Options, born_unix_ms: u64, first_heartbeat: Duration) {
        self.begin_life(options, born_unix_ms, first_heartbeat);
        let beating = self.clone();
        thread::spawn(move || {
            thread::sleep(first_heartbeat);
            beating.beat();
        });
    }

    /// Number of tasks that run.
    pub fn running(&self) -> usize {
        self.life.0.lock().unwrap().as_ref().map_or(0, |life| life.runs.len())
    }

    /// Address of the agent beside it.
    pub fn agent(&self) -> String {
        self.options().agent
    }

    fn options(&self) -> Options {
        let life = self.life.0.lock().unwrap();
        life.as_ref().map(|life| life.options.clone()).unwrap_or_default()
    }

    fn beat(&self) {
        let beat = {
            let mut life = self.life.0.lock().unwrap();
            let Some(life) = life.as_mut() else { return };
            if life.begin.elapsed() < life.first_heartbeat {
                return;
            }
            life.beats += 1;
            let options = &life.options;
            let capacity = json::object([
                ("cpu", json::number(options.cpu)),
                ("mem_mb", json::number(options.mem_mb)),
                ("gpu", json::number(options.gpu)),
            ]);
            let labels = options.labels.iter().map(|label| json::text(label)).collect();
            let body = json::object([
                ("service", json::text(&options.service)),
                ("address", json::text(&options.address)),
                ("zone", json::text(&options.zone)),
                ("version", json::text("v1")),
                ("slots", json::number(8)),
                ("state", json::text("ready")),
                ("capacity", capacity),
                ("labels", Json::List(labels)),
                ("clock_ms", json::number(life.clock_ms())),
                ("call_seq", json::number(life.beats)),
                ("born", json::number(life.born_unix_ms)),
            ]);
            (options.agent.clone(), format!("/instances/{}", options.id), body.to_string())
        };
        let (agent, target, body) = beat;
        let _ = http::call(&agent, "PUT", &target, &[], &body, Duration::from_secs(1));
    }

    fn tick(&self) {
        let mut life = self.life.0.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        let is_over = life.clock_ms() >= life.deadline_ms;
        let ended =
            life.runs.iter().filter(|(_, run)| is_over || run.begin.elapsed() >= run.length);
        let ended: Vec<String> = ended.map(|(task, _)| task.clone()).collect();
        for task in &ended {
            let run = &life.runs[task];
            let how = if run.begin.elapsed() >= run.length { "done" } else { "lapsed" };
            self.end(life, task, how);
        }
        if !ended.is_empty() {
            self.life.1.notify_all();
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else { return };
        life.last_end += 1;
        life.finished.push((life.last_end, task.to_owned(), run.number, how));
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        self.history.end(run.index, self.record.ms(), how);
    }

    fn answer(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut guard = self.life.0.lock().unwrap();
        let life = guard.as_mut()?;
        let born = life.born_unix_ms;
        let wanted = request.header("X-Expect-Instance");
        if !wanted.is_empty() && wanted != life.options.id {
            return Some((421, "{}".to_owned()));
        }
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < life.token {
            return Some(life.refuse("fence"));
        }
        life.token = token;
        if let Some(deadline) = body.get("deadline_ms").number() {
            let limit = life.clock_ms() + HOLD_MAX_MS;
            life.deadline_ms = life.deadline_ms.max(deadline.min(limit));
        }
        match request.path() {
            "/run-start" => Some(self.start_run(life, &body)),
            "/run-stop" => {
                let (task, number) = (body.get("task").text(), body.get("run_id").number()?);
                let closed = life.closed.entry(task.to_owned()).or_default();
                *closed = number.max(*closed);
                if life.runs.get(task).is_some_and(|run| run.number == number) {
                    self.end(life, task, "stopped");
                    self.life.1.notify_all();
                }
                Some(life.done())
            }
            "/hold" => {
                let seen = body.get("last_seen").number().unwrap_or(0);
                life.finished.retain(|(number, ..)| *number > seen);
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let life = guard.as_mut().filter(|life| life.born_unix_ms == born)?;
                    let now = Instant::now();
                    if !life.finished.is_empty() || now >= until {
                        return Some(life.list());
                    }
                    guard = self.life.1.wait_timeout(guard, until - now).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let task = body.get("task").text().to_owned();
        let number = body.get("run_id").number().unwrap_or(0);
        if life.runs.get(&task).is_some_and(|run| run.number == number) {
            return life.done();
        }
        if life.closed.get(&task).is_some_and(|closed| number <= *closed) {
            return life.refuse("old");
        }
        if life.clock_ms() >= life.deadline_ms {
            return life.refuse("late");
        }
        let mut words = body.get("spec").text().split(' ');
        let ms = words.find_map(|word| word.strip_prefix("ms=")?.parse().ok());
        let start = Start {
            task: task.clone(),
            run: number,
            minion: life.options.id.clone(),
            began_ms: self.record.ms(),
            ended_ms: None,
            how: "runs",
        };
        let index = self.history.begin(start);
        let length = Duration::from_millis(ms.unwrap_or(1_000));
        life.runs.insert(task, Run { number, begin: Instant::now(), length, index });
        life.done()
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.begin.elapsed().as_millis() as u64
    }

    fn done(&self) -> (u16, String) {
        (200, json::object([("clock_ms", json::number(self.clock_ms()))]).to_string())
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        let fields = [("clock_ms", json::number(self.clock_ms())), ("reason", json::text(reason))];
        (409, json::object(fields).to_string())
    }

    fn list(&self) -> (u16, String) {
        let running = self.runs.iter().map(|(task, run)| {
            let share = run.begin.elapsed().as_secs_f64() / run.length.as_secs_f64().max(0.001);
            let percent = ((share * 100.0) as u64).min(99);
            let number = json::number(run.number);
            Json::List(vec![json::text(task), number, json::text(""), json::number(percent)])
        });
        let finished = self.finished.iter().take(LISTED_ENDS).map(|(number, task, run, how)| {
            let (number, run) = (json::number(*number), json::number(*run));
            Json::List(vec![number, json::text(task), run, json::text(how), json::text("")])
        });
        let body = json::object([
            ("clock_ms", json::number(self.clock_ms())),
            ("born", json::number(self.born_unix_ms)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ]);
        (200, body.to_string())
    }
}
