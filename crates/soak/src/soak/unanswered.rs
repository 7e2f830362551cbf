//! For how long unanswered starts counted, by the logs of the entries, and whether that is longer than
//! the platform allows.

use std::{
    fmt, io,
    path::Path,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{cancels::CONTACT_TIME, waits};

/// Longest time after it was sent for which a start may be carried out.
const MAX_DELAY: Duration = Duration::from_secs(12);
/// Longest lease of a run, `hold_max_ms` on a clock that is 2% slow.
const MAX_LEASE: Duration = Duration::from_millis(10_200);
/// Time for which work that could run may have nothing running.
const MAX_IDLE: Duration = Duration::from_secs(3);

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
    /// From when they were last sent.
    sent: Wait,
    /// From when their VMs were gone, if that was later.
    gone: Wait,
}

impl Figures {
    /// Describes the times that are longer than allowed. A VM that is gone may count until the platform
    /// shows it, after four seconds without a disturbance.
    pub(super) fn broken(&self) -> impl Iterator<Item = String> {
        let limits = [
            (&self.sent, MAX_DELAY + MAX_LEASE + MAX_IDLE, "after it was sent"),
            (&self.gone, MAX_IDLE + CONTACT_TIME, "after its VM was gone"),
        ];
        let broken = limits.into_iter().filter(|(wait, limit, _)| wait.length > *limit);
        broken.map(|(wait, limit, from)| {
            let Wait { length, line } = wait;
            format!(
                "an unanswered start counted for {length:?} {from}, {limit:?} are allowed: {line}"
            )
        })
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sent, gone) = (self.sent.length.as_millis(), self.gone.length.as_millis());
        write!(f, "unanswered_ms={sent} unanswered_gone_ms={gone}")
    }
}

/// Reads from the entries' logs in a folder for how long unanswered starts counted.
pub(super) fn measure(folder: &Path, departures: &[Departure]) -> io::Result<Figures> {
    let texts = waits::read_logs(folder)?;
    let mut figures = Figures::default();
    let lines = texts.iter().flat_map(|text| text.lines());
    for line in lines.filter(|line| line.contains("unanswered start counts no more")) {
        let Some((at, agent, age)) = parse(line) else { continue };
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
            *wait = Wait { length, line: line.to_owned() };
        }
    }
    Ok(figures)
}

/// Parses the time of the day, the agent and the age of the start in a line.
fn parse(line: &str) -> Option<(Duration, u8, Duration)> {
    let field = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split(' ').next()
    };
    let agent = field("worker=a")?.parse().ok()?;
    let age = Duration::from_millis(field("age_ms=")?.parse().ok()?);
    Some((waits::time_of_day(line)?, agent, age))
}
