//! For how long unanswered starts counted, by the logs of the entries, whether that is longer than the
//! platform allows, and which of them counted again after a planner had settled them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
    path::Path,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{cancels::CONTACT_TIME, waits};

/// Longest time after it was sent for which a start may be carried out.
const MAX_DELAY: Duration = Duration::from_secs(12);
/// Factor by which a lease is longer on a clock that is 2% slow.
const CLOCK_FACTOR: f64 = 1.02;
/// Time within which starts are settled together.
const SAME_TIME: Duration = Duration::from_millis(100);
/// Time for which work that could run may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Part of the line that says that a planner has settled a start.
const RELEASED: &str = "unanswered start counts no more";

/// Time for which the VM of an agent was gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    pub(super) agent: u8,
    /// Its beginning and end, in Unix time.
    from: Duration,
    until: Option<Duration>,
}

impl Departure {
    pub(super) fn begin(agent: u8) -> Self {
        Departure { agent, from: unix_now(), until: None }
    }

    pub(super) fn end(&mut self) {
        self.until.get_or_insert_with(unix_now);
    }
}

fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// A start that counted for longer than some seconds.
#[derive(Clone, Debug, Default)]
struct Wait {
    length: Duration,
    /// The line that ends it.
    line: String,
}

/// Longest times for which unanswered starts counted.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// From when the last start on their minion was sent.
    sent: Wait,
    /// From when their VMs were gone, if that was later.
    gone: Wait,
    /// Starts that counted again, with the line that shows each.
    again: BTreeMap<Start, String>,
}

/// A start: its run, as `TASK#NUMBER`, and its worker.
type Start = (String, String);

impl Figures {
    /// Describes the times that are longer than allowed, and the starts that counted again. A VM that is
    /// gone may count until the lease of its minion is over, since an inventory may lack one that runs, and
    /// until the platform shows it, after four seconds without a disturbance.
    pub(super) fn broken(&self, lease_limit: Duration) -> impl Iterator<Item = String> {
        let max_lease = lease_limit.mul_f64(CLOCK_FACTOR);
        let limits = [
            (
                &self.sent,
                MAX_DELAY + max_lease + MAX_IDLE,
                "after the last one on its minion was sent",
            ),
            (&self.gone, max_lease + MAX_IDLE + CONTACT_TIME, "after its VM was gone"),
        ];
        let broken = limits.into_iter().filter(|(wait, limit, _)| wait.length > *limit);
        let again = self.again.iter().map(|((run, worker), line)| {
            format!("the start of {run} on {worker} counted again: {line}")
        });
        let long = broken.map(|(wait, limit, from)| {
            let Wait { length, line } = wait;
            format!(
                "an unanswered start counted for {length:?} {from}, {limit:?} are allowed: {line}"
            )
        });
        long.chain(again)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sent, gone) = (self.sent.length.as_millis(), self.gone.length.as_millis());
        let again = self.again.len();
        write!(f, "unanswered_ms={sent} unanswered_gone_ms={gone} counted_again={again}")
    }
}

/// Reads from the entries' logs in a folder for how long unanswered starts counted.
pub(super) fn measure(folder: &Path, departures: &[Departure]) -> io::Result<Figures> {
    let texts = waits::read_logs(folder)?;
    let mut figures = Figures::default();
    let lines = texts.iter().flat_map(|text| text.lines());
    let lines = lines.filter(|line| line.contains(RELEASED));
    let released: Vec<_> = lines.filter_map(|line| Some((parse(line)?, line))).collect();
    for ((at, agent, own_age), line) in &released {
        let (at, agent) = (*at, *agent);
        // Each start that is carried out prolongs the lease of all that its minion runs.
        let is_together = |other: Duration| other.abs_diff(at) < SAME_TIME;
        let ages = released.iter().filter(|((other, ..), _)| is_together(*other));
        let ages = ages.filter(|((_, other, _), _)| *other == agent).map(|((.., age), _)| *age);
        let age = ages.min().unwrap_or(*own_age);
        let in_day =
            |time: Duration| Duration::from_nanos((time.as_nanos() % waits::DAY.as_nanos()) as u64);
        // A VM that takes its place ends the wait as well.
        let overlap = |departure: &Departure| {
            let until = departure.until.map_or(at, in_day).min(at);
            until.checked_sub(in_day(departure.from).max(at.saturating_sub(age)))
        };
        let of_agent = departures.iter().filter(|departure| departure.agent == agent);
        let (wait, length) = match of_agent.filter_map(overlap).max() {
            Some(gone) => (&mut figures.gone, gone),
            None => (&mut figures.sent, age),
        };
        if length > wait.length {
            *wait = Wait { length, line: (*line).to_owned() };
        }
    }
    figures.again = counted_again(&texts);
    Ok(figures)
}

/// Returns the starts that a planner had settled, by the logs, and that it or another one knew again without
/// having ordered them since.
fn counted_again(texts: &[String]) -> BTreeMap<Start, String> {
    let lines = texts.iter().flat_map(|text| text.lines());
    let is_told = |line: &&str| {
        let marks = [RELEASED, " orders start=", " recorded starts="];
        marks.iter().any(|mark| line.contains(mark))
    };
    let mut lines: Vec<(Duration, &str)> = (lines.filter(is_told))
        .filter_map(|line| Some((waits::time_of_day(line)?, line)))
        .collect();
    lines.sort_by_key(|(at, _)| *at);
    let mut settled: BTreeSet<Start> = BTreeSet::new();
    let mut ordered: BTreeMap<Start, Duration> = BTreeMap::new();
    let mut again = BTreeMap::new();
    for (at, line) in lines {
        let worker = field(line, "worker=").unwrap_or_default().to_owned();
        let starts = |name| {
            let runs = field(line, name).unwrap_or_default().split(',');
            // Behind the run stands the process that sent it.
            let run = |run: &str| run.split('@').next().unwrap_or_default().to_owned();
            runs.map(|it| (run(it), worker.clone())).collect::<Vec<Start>>()
        };
        if line.contains(RELEASED) {
            let (task, run) = (field(line, "task="), field(line, "run="));
            let run = format!("{}#{}", task.unwrap_or_default(), run.unwrap_or_default());
            let start = (run, worker.clone());
            let age = field(line, "age_ms=").and_then(|age| age.parse().ok()).unwrap_or(0);
            let sent = at.saturating_sub(Duration::from_millis(age));
            if ordered.get(&start).is_some_and(|again| *again > sent) {
                // Its run was ordered again meanwhile.
                continue;
            }
            if !settled.insert(start.clone()) {
                again.insert(start, line.to_owned());
            }
        } else if line.contains(" orders start=") {
            for start in starts("start=") {
                settled.remove(&start);
                ordered.insert(start, at);
            }
        } else {
            let known = starts("starts=").into_iter().filter(|start| settled.contains(start));
            again.extend(known.map(|start| (start, line.to_owned())));
        }
    }
    again
}

/// Parses the time of the day, the agent and the age of the start in a line.
fn parse(line: &str) -> Option<(Duration, u8, Duration)> {
    let agent = field(line, "worker=a")?.parse().ok()?;
    let age = Duration::from_millis(field(line, "age_ms=")?.parse().ok()?);
    Some((waits::time_of_day(line)?, agent, age))
}

/// Returns the value of a field in a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(name)?;
    rest.split(' ').next()
}
