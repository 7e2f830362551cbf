//! Logs with anything in them.

use std::env;

use proptest::{
    collection,
    prelude::{
        Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
    },
    sample,
    test_runner::{FileFailurePersistence, RngSeed},
};
use sapphire_ledger::{book::Book, chart, line, report::Report, text};

use crate::DAY;

/// The same cases each time, or as many others as `PROPTEST_CASES` says.
fn cases(count: u32) -> ProptestConfig {
    let kept = FileFailurePersistence::WithSource("proptest-regressions");
    let by_hand =
        ProptestConfig { failure_persistence: Some(Box::new(kept)), ..ProptestConfig::default() };
    if env::var_os("PROPTEST_CASES").is_some() {
        return by_hand;
    }
    ProptestConfig { cases: count, rng_seed: RngSeed::Fixed(1), ..by_hand }
}

/// A line of the day, with one field of another value, cut, or anything.
fn lines() -> impl Strategy<Value = String> {
    let day: Vec<&str> = DAY.lines().collect();
    let value = prop_oneof![
        ".{0,8}",
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| number.to_string()),
        sample::select(vec!["NaN", "inf", "-inf", "1e308", "-1e308", "LOST", "BROKEN", "ALONE"])
            .prop_map(str::to_owned),
        Just("x".repeat(5_000)),
    ];
    let fields = (sample::select(day.clone()), any::<sample::Index>(), value).prop_map(
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
    let times = (sample::select(day.clone()), 0..9_999_u32, 0..14_u32)
        .prop_map(|(line, year, month)| format!("{year:04}-{month:02}-01T00:00{}", &line[16..]));
    let cut = (sample::select(day.clone()), any::<sample::Index>())
        .prop_map(|(line, at)| line[..at.index(line.len())].to_owned());
    prop_oneof![
        4 => fields,
        2 => times,
        2 => cut,
        4 => sample::select(day).prop_map(str::to_owned),
        1 => any::<String>(),
        1 => "[0-9TZ:.-]{0,30} \\[[A-Z]{0,5}\\] sapphire: (plan|front|agent|member): .{0,40}",
    ]
}

proptest! {
    #![proptest_config(cases(1_024))]

    #[test]
    fn any_log_is_accounted_for(lines in collection::vec(lines(), 0..30)) {
        let book = Book::read(lines.iter().map(String::as_str));
        prop_assert!(book.unreadable <= book.lines && book.lines <= lines.len() as u64);
        let events = book.starts.len() + book.ends.len() + book.jobs.len() + book.zones.len();
        prop_assert!(events + book.gaps.len() + book.terms.len() <= lines.len());
        for run in book.ends.keys() {
            let job = &run.task.job;
            let all = book.ends.iter().filter(|(run, _)| run.task.job == *job);
            prop_assert!(book.ends_of(job).eq(all));
        }
        let report = Report::new(&book);
        prop_assert!(report.lost.total.is_finite());
        prop_assert!(report.lost.with_worker.is_finite() && report.lost.failed.is_finite());
        let _ = text::write(&report);
        prop_assert!(serde_json::to_string(&report).is_ok());
    }

    #[test]
    fn lines_of_others_leave_the_day_as_it_was(
        garbage in collection::vec(".{0,60}", 0..20),
        at in any::<sample::Index>(),
    ) {
        let garbage: Vec<String> =
            garbage.into_iter().filter(|text| line::read(text).is_none()).collect();
        let mut lines: Vec<&str> = DAY.lines().collect();
        let at = at.index(lines.len());
        lines.splice(at..at, garbage.iter().map(String::as_str));
        let read = Report::new(&Book::read(lines.into_iter()));
        let day = Report::new(&Book::read(DAY.lines()));
        prop_assert_eq!(
            Report { lines: 0, unreadable: 0, ..read },
            Report { lines: 0, unreadable: 0, ..day }
        );
    }
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn any_log_is_drawn_or_refused_with_a_reason(lines in collection::vec(lines(), 0..30)) {
        match chart::draw(&Book::read(lines.iter().map(String::as_str))) {
            Ok(picture) => prop_assert!(picture.contains("</svg>")),
            Err(failure) => prop_assert!(!failure.to_string().is_empty()),
        }
    }
}
