//! Report as text for operators.

use std::{collections::BTreeMap, fmt::Write as _};

use crate::report::{Report, Violation};

/// Maximum number of jobs listed. Jobs are listed by time of acceptance: sorted by duration, the
/// list would hide which delay came first and caused the others.
const MAX_JOBS: usize = 40;
/// Maximum number of beneficiaries listed.
const MAX_BENEFICIARIES: usize = 10;

/// Formats a report as text.
pub fn write(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "lines {}, of these cut or of other programs {}; planners {}, without a planner {} ms",
        report.lines, report.unreadable, report.planners, report.no_planner_ms
    );
    let runs: Vec<String> =
        report.runs.iter().map(|(how, count)| format!("{count} {how}")).collect();
    let _ = writeln!(out, "runs: {}", runs.join(", "));
    let jobs: Vec<String> = report
        .jobs
        .iter()
        .map(|(outcome, count)| format!("{count} {outcome:?}").to_lowercase())
        .collect();
    let _ = writeln!(out, "jobs: {}", jobs.join(", "));
    let lost = &report.lost;
    let _ = writeln!(
        out,
        "\nprocessor seconds thrown away: {:.0} (beside these: {:.0} ended with a worker, {:.0} by their own fault)",
        lost.total, lost.with_worker, lost.failed
    );
    table(&mut out, "cause", &lost.by_cause, usize::MAX);
    table(&mut out, "for job", &lost.by_beneficiary, MAX_BENEFICIARIES);
    table(&mut out, "priority", &lost.by_priority, usize::MAX);
    table(&mut out, "organisation", &lost.by_organisation, usize::MAX);
    table(&mut out, "zone", &lost.by_zone, usize::MAX);
    let windows: Vec<String> =
        lost.by_window.iter().map(|(at, lost)| format!("{at}s {lost:.0}")).collect();
    let _ = writeln!(out, "  by window: {}", windows.join(", "));
    violations(&mut out, &report.troubles);
    out
}

/// Appends the rows of a table in one line, the largest value first, and at most `limit` of them.
fn table(out: &mut String, name: &str, rows: &BTreeMap<String, f64>, limit: usize) {
    let mut rows: Vec<(&String, &f64)> = rows.iter().collect();
    rows.sort_by(|left, right| right.1.total_cmp(left.1));
    let cells: Vec<String> =
        rows.iter().take(limit).map(|(key, lost)| format!("{key} {lost:.0}")).collect();
    let _ = writeln!(out, "  by {name}: {}", cells.join(", "));
}

fn violations(out: &mut String, violations: &[Violation]) {
    let _ =
        writeln!(out, "\njobs that were not served in time: {} (times in ms)", violations.len());
    if violations.is_empty() {
        return;
    }
    let _ = writeln!(
        out,
        "{:>7} {:18} {:>4} {:10} {:>7} {:>9} | {:>7} {:>8} {:>6} {:>7} {:>6} {:>5} | refusals",
        "at",
        "job",
        "prio",
        "fate",
        "took",
        "objective",
        "waits",
        "no plan",
        "again",
        "runs",
        "slower",
        "shown"
    );
    for violation in violations.iter().take(MAX_JOBS) {
        let delay = &violation.delay;
        let outcome = format!("{:?}", violation.fate).to_lowercase();
        let _ = writeln!(
            out,
            "{:>7} {:18} {:>4} {:10} {:>7} {:>9} | {:>7} {:>8} {:>6} {:>7} {:>6} {:>5} | {} {}",
            violation.at_ms,
            violation.job,
            violation.priority,
            outcome,
            violation.took_ms,
            violation.objective_ms,
            delay.waiting_ms,
            delay.no_planner_ms,
            delay.again_ms,
            delay.running_ms,
            delay.slower_ms,
            delay.shown_late_ms,
            violation.refusals,
            violation.answer
        );
    }
    if violations.len() > MAX_JOBS {
        let _ = writeln!(out, "and {} more; --json has all", violations.len() - MAX_JOBS);
    }
}
