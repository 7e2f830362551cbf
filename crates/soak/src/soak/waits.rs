//! Why jobs had nothing running, by the logs of the entries.

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use super::Standstill;
use crate::fleet::ENTRIES;

pub(super) const DAY: Duration = Duration::from_secs(86_400);

/// A line of an entry's log, with its time of the day.
struct Line<'a> {
    at: Duration,
    entry: u8,
    text: &'a str,
}

/// Reads the entries' logs in a folder.
pub(super) fn read_logs(folder: &Path) -> io::Result<Vec<String>> {
    let read = |entry| fs::read(folder.join(format!("e{entry}.log")));
    let logs = (0..ENTRIES).map(read);
    logs.map(|log| log.map(|log| String::from_utf8_lossy(&log).into_owned())).collect()
}

/// Completes each standstill with the reasons that the entries' logs in a folder give for it.
pub(super) fn find_reasons(folder: &Path, standstills: &mut [Standstill]) -> io::Result<()> {
    if standstills.is_empty() {
        return Ok(());
    }
    let texts = read_logs(folder)?;
    let mut lines: Vec<Line<'_>> = Vec::new();
    for (entry, text) in (0..).zip(&texts) {
        let of_time = |text| Some(Line { at: time_of_day(text)?, entry, text });
        lines.extend(text.lines().filter_map(of_time));
    }
    lines.sort_by_key(|line| line.at);
    for standstill in standstills {
        standstill.reason = reason(&lines, standstill);
    }
    Ok(())
}

/// Parses the time at the beginning of a line, as in `2026-12-05T02:41:14.106798841Z`.
pub(super) fn time_of_day(line: &str) -> Option<Duration> {
    let (date_time, _) = line.split_once("Z ")?;
    let (_, time) = date_time.split_once('T')?;
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Duration::try_from_secs_f64(hours * 3_600.0 + minutes * 60.0 + seconds).ok()
}

/// Describes what the logs say of a standstill: the reasons named for the job and for others, the
/// terms that began meanwhile, and the last line that names the job before its end.
fn reason(lines: &[Line<'_>], standstill: &Standstill) -> String {
    let end = Duration::from_nanos((standstill.end.as_nanos() % DAY.as_nanos()) as u64);
    let begin = end.saturating_sub(standstill.length);
    let mut own: BTreeMap<&str, usize> = BTreeMap::new();
    let mut others: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut terms, mut last) = (Vec::new(), None);
    for line in lines.iter().filter(|line| line.at <= end) {
        let is_own = line.text.contains(&standstill.job);
        let is_planner = line.text.contains("sapphire: plan:");
        if is_own && is_planner {
            last = Some(line);
        }
        if line.at < begin {
            continue;
        }
        if let Some((_, rest)) = line.text.split_once("waits reason=") {
            let reason = rest.split(' ').next().unwrap_or_default();
            *if is_own { &mut own } else { &mut others }.entry(reason).or_default() += 1;
        } else if is_planner && line.text.contains(" serves after ") {
            terms.push(format!("e{} begins -{:.1} s", line.entry, (end - line.at).as_secs_f64()));
        } else if is_planner && line.text.contains("knows what earlier orders have come to") {
            terms.push(format!("e{} knows -{:.1} s", line.entry, (end - line.at).as_secs_f64()));
        }
    }
    let last = last.map_or_else(String::new, |line| {
        let (_, text) = line.text.split_once("plan: ").unwrap_or(("", line.text));
        format!("e{} -{:.1} s {text}", line.entry, (end - line.at).as_secs_f64())
    });
    let terms = terms.join(", ");
    format!("reasons {own:?}, of others {others:?}; terms: {terms}; last line: {last}")
}
