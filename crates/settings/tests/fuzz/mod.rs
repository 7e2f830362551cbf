//! Property tests of settings files: valid, mutated and arbitrary texts.

use std::env;

use proptest::{
    collection,
    prelude::{
        Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
    },
    sample,
    test_runner::{FileFailurePersistence, RngSeed, TestCaseError},
};
use sapphire_settings::{agent, entry, finding::Finding, jobs, section};

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

const FILES: [&str; 4] = [
    "name: e1\nregion: norte\nzone: norte-a\naddress: 127.0.0.1:7000\nhttp: 127.0.0.1:8000\n\
     store: 127.0.0.1:9000\npeers: [127.0.0.1:5]\nlimits:\n  body: 2 MiB\n  requests: 9\n\
     timing:\n  lease: 5s\nlogging:\n  level: info\n  plan: debug\n",
    "name: a1\nregion: norte\nzone: norte-a\naddress: 127.0.0.1:7000\n\
     entries: [127.0.0.1:7001]\nworker:\n  name: w1\n  rack: r1\n  address: 127.0.0.1:3\n\
     \x20 accelerators: 8\n  processors: 64\n  memory: 512 GiB\nminion:\n  name: m\n\
     \x20 service: s\n  address: 127.0.0.1:4\nmetrics:\n  address: 127.0.0.1:6\n",
    "platform: kv\nname: e1\nregion: norte\nzone: norte-a\naddress: 127.0.0.1:7000\n\
     callers: 127.0.0.1:8000\nready: 127.0.0.1:8001\nstore: 127.0.0.1:9000\n\
     entries: [127.0.0.1:7001]\nbounds:\n  stop: 300ms\n  remote_factor: 2\npolicy:\n\
     \x20 move_slow: off\n",
    "platform: kv\nname: a1\nregion: norte\nzone: norte-a\naddress: 127.0.0.1:7000\n\
     minion: 127.0.0.1:8000\ntasks: 127.0.0.1:8001\nentries:\n- 127.0.0.1:7001\n",
];

/// Tokens of YAML from which texts are composed.
const PARTS: [&str; 24] = [
    "name", "address", "limits", "timing", "entries", "bounds", ":", ": ", "- ", "? ", "\n",
    "\n  ", "[", "]", "{", "}", ", ", "&a ", "*a", "!!int ", "|\n", "\"", "'", "# ",
];

fn texts() -> impl Strategy<Value = String> {
    let parts =
        prop_oneof![3 => sample::select(PARTS.to_vec()).prop_map(str::to_owned), 1 => ".{0,4}"];
    prop_oneof![
        1 => any::<String>(),
        3 => collection::vec(parts, 0..30).prop_map(|parts| parts.concat()),
        4 => mutated(),
    ]
}

/// A valid file with one line removed, repeated or given another value.
fn mutated() -> impl Strategy<Value = String> {
    let value = prop_oneof![
        ".{0,12}",
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number}s")),
        any::<u64>().prop_map(|number| format!("{number} GiB")),
        any::<u64>().prop_map(|number| format!("{number}h")),
        (1..300_usize).prop_map(|depth| "[".repeat(depth)),
        (1..2_000_usize).prop_map(|depth| format!("\n{}", "- ".repeat(depth))),
        (1..2_000_usize).prop_map(|depth| format!("\n{}", "? !t ".repeat(depth))),
        (1..300_usize).prop_map(|depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth))),
        Just("x".repeat(10_000)),
    ];
    (sample::select(FILES.to_vec()), any::<sample::Index>(), 0..3, value).prop_map(
        |(file, at, how, value)| {
            let mut lines: Vec<String> = file.lines().map(str::to_owned).collect();
            let at = at.index(lines.len());
            match how {
                0 => drop(lines.remove(at)),
                1 => lines.insert(at, lines[at].clone()),
                _ => {
                    let key = lines[at].split(':').next().unwrap_or_default().to_owned();
                    lines[at] = format!("{key}: {value}");
                }
            }
            lines.join("\n")
        },
    )
}

fn check_findings<T>(text: &str, read: Result<T, Vec<Finding>>) -> Result<(), TestCaseError> {
    let Err(findings) = read else { return Ok(()) };
    prop_assert!(!findings.is_empty());
    // A finding about the end of the file has the line after the last one.
    let lines = text.chars().filter(|c| matches!(c, '\n' | '\r')).count() + 2;
    for finding in findings {
        prop_assert!((1..=lines).contains(&finding.line), "{finding} of {lines} lines");
        prop_assert!(!finding.key.is_empty());
        prop_assert!(!finding.message.trim().is_empty());
    }
    Ok(())
}

proptest! {
    #![proptest_config(cases(2_048))]

    #[test]
    fn any_file_is_read_or_refused_with_its_place(text in texts()) {
        check_findings(&text, entry::read(&text))?;
        check_findings(&text, agent::read(&text))?;
        check_findings(&text, jobs::read_entry(&text))?;
        check_findings(&text, jobs::read_agent(&text))?;
        let _ = jobs::is_platform_file(&text);
    }

    #[test]
    fn a_formatted_size_is_parsed_again(bytes in any::<u64>(), shift in 0..64_u32) {
        let bytes = bytes >> shift;
        prop_assert_eq!(section::parse_size(&section::format_size(bytes)), Some(bytes));
    }

    #[test]
    fn any_size_is_parsed_or_refused(text in ".{0,20}|[0-9]{1,21} ?(B|KiB|MiB|GiB)") {
        let _ = section::parse_size(&text);
    }

    #[test]
    fn good_values_are_read(
        name in "[A-Za-z0-9_-]{1,63}",
        port in any::<u16>(),
        stop in 1..86_400_000_u64,
        factor in 1..=1_000_u32,
        is_on in any::<bool>(),
    ) {
        let switch = if is_on { "on" } else { "off" };
        let text = format!(
            "platform: kv\nname: \"{name}\"\nregion: n\nzone: z\naddress: 127.0.0.1:{port}\n\
             callers: 127.0.0.1:1\nready: 127.0.0.1:2\nstore: 127.0.0.1:3\nbounds:\n\
             \x20 stop: {stop}ms\n  remote_factor: {factor}\npolicy:\n  move_slow: {switch}\n"
        );
        let read = jobs::read_entry(&text);
        let entry = read.map_err(|findings| TestCaseError::fail(format!("{findings:?}")))?;
        let (bounds, policy) = (entry.bounds.unwrap_or_default(), entry.policy.unwrap_or_default());
        prop_assert_eq!((entry.name, entry.address), (name, format!("127.0.0.1:{port}")));
        prop_assert_eq!((bounds.stop_ms, bounds.remote_factor), (stop, factor));
        prop_assert_eq!(policy.move_slow, is_on);
    }
}
