//! Reports on logs in the form in which the programs write them.

use sapphire_ledger::{chart, history::History, report::Report, text};

mod fuzz;

/// Log of a short simulated run: a task of the job `small` is stopped for the urgent job `big`, so
/// that `small` is late; there is no planner for about two seconds; one submission is rejected; the
/// last line is truncated.
const LOG: &str = "\
2026-01-01T00:00:00.000000000Z [INFO] sapphire: member: agent=w1 zone=north starts minion=1.1.1.1:1
2026-01-01T00:00:00.100000000Z [INFO] sapphire: front: term=2 begins here
2026-01-01T00:00:00.200000000Z [INFO] sapphire: plan: term=2 serves after 10 ms
2026-01-01T00:00:01.000000000Z [INFO] sapphire: plan: job=small queue=q organisation=o1 priority=2 objective_ms=6000 steps=[1x1000m/1MiB/1a/2000ms]
2026-01-01T00:00:01.010000000Z [INFO] sapphire: plan: job=small step=0 index=0 run=1 placed on=w1 waited_ms=10 far=false expected_ms=2000 spread=0.90
2026-01-01T00:00:01.020000000Z [INFO] sapphire: agent: task=small/0/0/0 run=1 started after 1 tries
2026-01-01T00:00:02.000000000Z [INFO] sapphire: plan: job=big queue=u organisation=o2 priority=0 objective_ms=4000 steps=[1x1000m/1MiB/8a/2000ms]
2026-01-01T00:00:02.400000000Z [INFO] sapphire: plan: task=small/0/0/0 run=1 worker=w1 ended=STOPPED ran_ms=1380 cores=9.0 lost_core_s=9.0 cause=urgent for=big
2026-01-01T00:00:02.410000000Z [INFO] sapphire: plan: job=big step=0 index=0 run=1 placed on=w1 waited_ms=410 far=false expected_ms=2000 spread=0.90
2026-01-01T00:00:02.420000000Z [INFO] sapphire: agent: task=big/0/0/0 run=1 started after 1 tries
2026-01-01T00:00:04.420000000Z [INFO] sapphire: plan: task=big/0/0/0 run=1 worker=w1 ended=DONE ran_ms=2000 cores=65.0 lost_core_s=0.0
2026-01-01T00:00:04.420000000Z [INFO] sapphire: plan: job=big all tasks are done took_ms=2420 objective_ms=4000 late=false
2026-01-01T00:00:04.430000000Z [INFO] sapphire: plan: job=big state=COMPLETE is durable
2026-01-01T00:00:06.000000000Z [INFO] sapphire: front: term=9 begins here
2026-01-01T00:00:06.500000000Z [INFO] sapphire: plan: term=9 serves after 20 ms
2026-01-01T00:00:06.600000000Z [INFO] sapphire: plan: job=small step=0 index=0 run=1001 placed on=w1 waited_ms=100 far=false expected_ms=2000 spread=0.90
2026-01-01T00:00:06.610000000Z [INFO] sapphire: agent: task=small/0/0/0 run=1001 started after 1 tries
2026-01-01T00:00:08.610000000Z [INFO] sapphire: plan: task=small/0/0/0 run=1001 worker=w1 ended=DONE ran_ms=2000 cores=9.0 lost_core_s=0.0
2026-01-01T00:00:08.610000000Z [INFO] sapphire: plan: job=small all tasks are done took_ms=7610 objective_ms=6000 late=true
2026-01-01T00:00:08.620000000Z [INFO] sapphire: plan: job=small state=COMPLETE is durable
2026-01-01T00:00:09.000000000Z [INFO] sapphire: front: request=7 POST /q/none status=503 ms=1 answer=NoProof
2026-01-01T00:00:09.100000000Z [INFO] sapphire: plan: task=small/0/0/0 run=10";

fn report(log: &str) -> Report {
    Report::new(&History::read(log.lines()))
}

#[test]
fn a_report_lists_wasted_work_and_late_jobs() {
    insta::assert_snapshot!(text::write(&report(LOG)));
    insta::assert_snapshot!(
        serde_json::to_string_pretty(&report(LOG)).expect("reports can be serialised")
    );
}

/// Logs of several processes are read from several files, whose order does not follow time, and a
/// log collector may put a prefix before each line.
#[test]
fn order_and_prefixes_do_not_matter() {
    let mut lines: Vec<String> = LOG.lines().map(|line| format!("  1.2 host-a {line}")).collect();
    lines.reverse();
    assert_eq!(report(&lines.join("\n")), report(LOG));
}

/// During a take-over two planners are active for a moment, and both log the end of the same run.
/// It counts once, with the ending of the planner that knows how the run ended.
#[test]
fn an_end_logged_by_two_planners_counts_once() {
    let lost = "2026-01-01T00:00:02.300000000Z [INFO] sapphire: plan: task=small/0/0/0 run=1 worker=w1 \
                ended=LOST ran_ms=1300 cores=9.0 lost_core_s=8.0";
    let both = format!("{lost}\n{LOG}");
    let (one, two) = (report(LOG), report(&both));
    assert_eq!(one.lost, two.lost);
    assert_eq!(one.runs, two.runs);
}

/// Text of other programs is counted as unreadable lines and adds no job to the report; blank lines
/// are not counted. Neither it nor empty input or a log that is cut anywhere causes a panic.
#[test]
fn unreadable_lines_are_counted() {
    let other = report("hello\n\n2026-01-01 [INFO] x\n] sapphire: plan: \n[INFO] sapphire: a: b\n");
    assert_eq!((other.lines, other.unreadable, other.jobs.len()), (4, 4, 0));
    assert_eq!(report("").lines, 0);
    assert!(chart::draw(&History::read("".lines())).is_err());
    for cut in 0..LOG.len() {
        if LOG.is_char_boundary(cut) && cut % 97 == 0 {
            report(&LOG[..cut]);
        }
    }
}

#[test]
fn a_timeline_shows_workers_and_runs() {
    let picture = chart::draw(&History::read(LOG.lines())).expect("there is something to draw");
    assert!(picture.starts_with("<svg") && picture.trim_end().ends_with("</svg>"));
    let bars = picture.matches("<rect").count();
    assert!(bars > 3, "expected a bar for each run and the background, got {bars} rectangles");
}

/// A single line with a NaN or infinite value would make every sum that includes it NaN or
/// infinite.
#[test]
fn values_that_are_not_finite_are_ignored() {
    for (cores, lost) in [("inf", "NaN"), ("1.0", "inf"), ("NaN", "1e308")] {
        let line = format!(
            "2026-01-01T00:00:04Z [INFO] sapphire: plan: task=x/0/0/0 run=1 worker=w1 \
             ended=STOPPED ran_ms=1 cores={cores} lost_core_s={lost} cause=urgent for=big"
        );
        let with = Report::new(&History::read(LOG.lines().chain([line.as_str()])));
        assert_eq!(with.lost.total, report(LOG).lost.total, "{line}");
    }
}
