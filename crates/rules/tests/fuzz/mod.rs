//! Property tests of rule files: valid and arbitrary lines in any order.

use std::env;

use proptest::{
    collection,
    prelude::{
        Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
    },
    sample,
    test_runner::{FileFailurePersistence, RngSeed},
};
use sapphire_rules::{diff, file::File, rule::Rule};

/// Runs the same cases each time, or as many random ones as `PROPTEST_CASES` says.
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

const GOOD: [&str; 9] = [
    "organisation a weight=2 priority=5 # x",
    "guarantee a accelerators=8 tasks=2 adjacency=rack count=2 zone=n # x",
    "quota a accelerators=16 # x",
    "admission a queue=50 # x",
    "reclaim grace=30s order=smallest # x",
    "balance completion=70 fragmentation=30 # x",
    "drain rack=r # x",
    "retries a attempts=2 # x",
    "# a comment",
];

/// A valid line, a line of valid and arbitrary words, or any text.
fn lines() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        4 => sample::select(GOOD.join(" ").split(' ').map(str::to_owned).collect::<Vec<_>>()),
        1 => ".{0,6}",
        1 => (sample::select(vec!["weight", "grace", "count", "zone"]), ".{0,12}")
            .prop_map(|(key, value)| format!("{key}={value}")),
        1 => any::<u64>().prop_map(|number| format!("accelerators={number}")),
        1 => any::<i64>().prop_map(|number| format!("queue={number}")),
        1 => any::<u64>().prop_map(|number| format!("grace={number}years")),
        1 => Just("x".repeat(5_000)),
    ];
    let separator = sample::select(vec![" ", "\t", "\u{a0}", "\u{3000}", "", "="]);
    let words = collection::vec((word, separator), 0..10);
    prop_oneof![
        3 => sample::select(GOOD.to_vec()).prop_map(str::to_owned),
        3 => words.prop_map(|words| words.into_iter().map(|(word, gap)| word + gap).collect()),
        1 => any::<String>(),
    ]
}

fn texts() -> impl Strategy<Value = String> {
    collection::vec(lines(), 0..12).prop_map(|lines| lines.join("\n"))
}

proptest! {
    #![proptest_config(cases(2_048))]

    #[test]
    fn any_file_is_read_or_refused_with_its_place(text in texts()) {
        match File::parse(&text) {
            Ok(file) => prop_assert!(file.entries.len() <= text.lines().count()),
            Err(findings) => {
                prop_assert!(!findings.is_empty());
                let lines: Vec<&str> = text.lines().collect();
                for finding in findings {
                    prop_assert!((1..=lines.len()).contains(&finding.line), "{}", finding);
                    let columns = 1..=lines[finding.line - 1].len() + 1;
                    prop_assert!(columns.contains(&finding.column), "{}", finding);
                    prop_assert!(!finding.message.trim().is_empty());
                }
            }
        }
    }

    #[test]
    fn any_two_files_are_compared(before in texts(), after in texts()) {
        let _ = diff::unified(&before, &after, "a", "b");
    }

    #[test]
    fn good_values_are_read(
        name in "[A-Za-z0-9._-]{1,63}",
        weight in 1..=1_000_u32,
        priority in 0..=100_u32,
        seconds in 0..=3_600_u64,
        asker in "[a-z]{1,20}",
    ) {
        let text = format!(
            "organisation {name} weight={weight} priority={priority} # {asker}\n\
             reclaim grace={seconds}s # {asker}\n"
        );
        let file = File::parse(&text).expect("the file is good");
        prop_assert_eq!(&file.entries[0].asked_by, &asker);
        let Rule::Organisation(read) = &file.entries[0].rule else { panic!("not an organisation") };
        prop_assert_eq!((&read.name, read.weight, read.priority), (&name, weight, priority));
        prop_assert_eq!(file.reclaim().grace.as_secs(), seconds);
    }
}
