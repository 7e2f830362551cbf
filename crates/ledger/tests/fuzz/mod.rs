//! Property tests: logs with altered, truncated and arbitrary lines.

use std::env;

use proptest::{
    collection,
    prelude::{
        Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
    },
    sample,
    test_runner::{FileFailurePersistence, RngSeed},
};
use sapphire_ledger::{chart, history::History, line, report::Report, text};

use crate::LOG;

/// Returns a configuration with `count` cases from a fixed seed; if `PROPTEST_CASES` is set, with
/// that number of cases from a random seed.
fn cases(count: u32) -> ProptestConfig {
    let persistence = FileFailurePersistence::WithSource("proptest-regressions");
    let random = ProptestConfig {
        failure_persistence: Some(Box::new(persistence)),
        ..ProptestConfig::default()
    };
    if env::var_os("PROPTEST_CASES").is_some() {
        return random;
    }
    ProptestConfig { cases: count, rng_seed: RngSeed::Fixed(1), ..random }
}

/// Generates a line of [`LOG`] as it is, with another value of one field, with another time or
/// truncated, or an arbitrary text.
fn lines() -> impl Strategy<Value = String> {
    let log: Vec<&str> = LOG.lines().collect();
    let value = prop_oneof![
        ".{0,8}",
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| number.to_string()),
        sample::select(vec!["NaN", "inf", "-inf", "1e308", "-1e308", "LOST", "BROKEN", "ALONE"])
            .prop_map(str::to_owned),
        Just("x".repeat(5_000)),
    ];
    let fields = (sample::select(log.clone()), any::<sample::Index>(), value).prop_map(
        |(line, at, value)| {
            let mut words: Vec<String> = line.split(' ').map(str::to_owned).collect();
            let at = at.index(words.len());
            words[at] = match words[at].split_once('=') {
                Some((key, _)) => format!("{key}={value}"),
                None => value,
            };
            words.join(" ")
        },
    );
    let times = (sample::select(log.clone()), 0..9_999_u32, 0..14_u32)
        .prop_map(|(line, year, month)| format!("{year:04}-{month:02}-01T00:00{}", &line[16..]));
    let cut = (sample::select(log.clone()), any::<sample::Index>())
        .prop_map(|(line, at)| line[..at.index(line.len())].to_owned());
    prop_oneof![
        4 => fields,
        2 => times,
        2 => cut,
        4 => sample::select(log).prop_map(str::to_owned),
        1 => any::<String>(),
        1 => "[0-9TZ:.-]{0,30} \\[[A-Z]{0,5}\\] sapphire: (plan|front|agent|member): .{0,40}",
    ]
}

proptest! {
    #![proptest_config(cases(1_024))]

    #[test]
    fn any_log_gives_a_consistent_report(lines in collection::vec(lines(), 0..30)) {
        let history = History::read(lines.iter().map(String::as_str));
        prop_assert!(history.unreadable <= history.lines && history.lines <= lines.len() as u64);
        let events =
            history.starts.len() + history.ends.len() + history.jobs.len() + history.zones.len();
        prop_assert!(events + history.gaps.len() + history.terms.len() <= lines.len());
        for run in history.ends.keys() {
            let job = &run.task.job;
            let all = history.ends.iter().filter(|(run, _)| run.task.job == *job);
            prop_assert!(history.runs(job).eq(all));
        }
        let report = Report::new(&history);
        prop_assert!(report.lost.total.is_finite());
        prop_assert!(report.lost.with_worker.is_finite() && report.lost.failed.is_finite());
        let _ = text::write(&report);
        prop_assert!(serde_json::to_string(&report).is_ok());
    }

    #[test]
    fn lines_of_other_programs_do_not_change_the_report(
        foreign in collection::vec(".{0,60}", 0..20),
        at in any::<sample::Index>(),
    ) {
        let foreign: Vec<String> =
            foreign.into_iter().filter(|text| line::parse(text).is_none()).collect();
        let mut lines: Vec<&str> = LOG.lines().collect();
        let at = at.index(lines.len());
        lines.splice(at..at, foreign.iter().map(String::as_str));
        let mixed = Report::new(&History::read(lines.into_iter()));
        let plain = Report::new(&History::read(LOG.lines()));
        prop_assert_eq!(
            Report { lines: 0, unreadable: 0, ..mixed },
            Report { lines: 0, unreadable: 0, ..plain }
        );
    }
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn any_log_is_drawn_or_rejected_with_a_reason(lines in collection::vec(lines(), 0..30)) {
        match chart::draw(&History::read(lines.iter().map(String::as_str))) {
            Ok(picture) => prop_assert!(picture.contains("</svg>")),
            Err(failure) => prop_assert!(!failure.to_string().is_empty()),
        }
    }
}
