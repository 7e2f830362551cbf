//! Tests that a settings file is checked completely and that each finding names its line, its key
//! and the allowed values.

use std::{fs, path};

use sapphire_settings::{agent, entry, finding};

mod fuzz;

#[test]
fn a_good_entry_file_is_read() {
    let text = "name: e1\nregion: norte\nzone: norte-a\naddress: 127.0.0.1:7000\n\
                http: 127.0.0.1:8000\nstore: 127.0.0.1:9000\nlimits:\n  body: 2 MiB\n\
                timing:\n  lease: 5s\n";
    insta::assert_debug_snapshot!(entry::read(text));
}

#[test]
fn every_fault_of_an_entry_file_is_reported() {
    let text = "name: e 1\nregion: norte\nadress: 127.0.0.1:7000\nhttp: localhost\n\
                store: 127.0.0.1:9000\npeers: [1, 127.0.0.1:5]\nlimits:\n  body: 2 parsecs\n\
                \x20 requests: 0\ntiming:\n  lease: 5\n  holds: 3s\n";
    let findings = entry::read(text).expect_err("the file has faults");
    insta::assert_snapshot!(finding::report("entry.yaml", &findings));
}

#[test]
fn an_agent_needs_something_to_serve() {
    let text = "name: a1\nregion: norte\nzone: norte-a\naddress: 127.0.0.1:7000\n\
                entries: [127.0.0.1:7001]\n";
    let findings = agent::read(text).expect_err("neither worker nor minion");
    insta::assert_snapshot!(finding::report("agent.yaml", &findings));
}

/// Guards against identifiers of jobs that seem to belong to another region: an identifier begins
/// with the region and a dot.
#[test]
fn a_region_has_no_dot() {
    let text = "name: e1\nregion: north.a\nzone: a\naddress: 127.0.0.1:1\nhttp: 127.0.0.1:2\n\
                store: 127.0.0.1:3\n";
    let findings = entry::read(text).expect_err("the region has a dot");
    assert_eq!(findings.iter().map(|finding| finding.key.as_str()).collect::<Vec<_>>(), ["region"]);
}

#[test]
fn the_example_settings_are_good() {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for member in ["atlantica", "pastizal"] {
        let files = fs::read_dir(examples.join(member)).expect("the folder exists");
        let mut read = 0;
        for file in files.map(|file| file.expect("the folder can be listed").path()) {
            let name =
                file.file_name().expect("the path has a file name").to_string_lossy().into_owned();
            let text = fs::read_to_string(&file).expect("the file can be read");
            match name.split('-').next() {
                Some("entry") => assert!(entry::read(&text).is_ok(), "{name}"),
                Some("agent") => assert!(agent::read(&text).is_ok(), "{name}"),
                _ => continue,
            }
            read += 1;
        }
        assert_eq!(read, 14, "{member}");
    }
}

#[test]
fn text_that_is_not_yaml_is_a_finding() {
    for text in ["", "a: [", "- 1", "a: b: c"] {
        assert!(!entry::read(text).expect_err("not a mapping").is_empty(), "{text:?}");
    }
}

/// An operator can switch off single mechanisms. Unknown mechanisms and values that are neither on
/// nor off are reported together, each with its line.
#[test]
fn mechanisms_of_the_policy_are_switched_by_name() {
    let file = |policy: &str| {
        format!(
            "platform: kv\nname: e\nregion: r\nzone: z\naddress: 1.1.1.1:1\ncallers: 1.1.1.1:2\n\
             ready: 1.1.1.1:3\nstore: 1.1.1.1:4\n{policy}"
        )
    };
    let read = |policy: &str| sapphire_settings::jobs::read_entry(&file(policy));
    let policy = |text: &str| read(text).ok().and_then(|entry| entry.policy);
    assert!(policy("").is_some_and(|policy| policy.move_slow && policy.count_waves));
    let off = policy("policy:\n  move_slow: off\n");
    assert!(off.is_some_and(|policy| !policy.move_slow && policy.count_waves));
    let faults = read("policy:\n  move_slow: maybe\n  teleport: on\n").expect_err("has faults");
    let reported: Vec<(usize, &str)> =
        faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    assert_eq!(reported, [(10, "policy.move_slow"), (11, "policy.teleport")]);
}

/// Guards against a file whose deep nesting overflows the stack and crashes the process.
#[test]
fn a_file_of_deep_nesting_is_refused() {
    let depth = 100_000;
    let files = [
        format!("peers: {}", "[".repeat(depth)),
        format!("peers: {}{}", "[".repeat(depth), "]".repeat(depth)),
        format!("peers: {}", "{a: ".repeat(depth)),
        format!("peers:\n{}", "- ".repeat(depth)),
        format!("{}a", "? ".repeat(depth)),
        format!("peers:\n{}", "- !t ".repeat(depth)),
        format!("peers:\n{}", "- &a ".repeat(depth)),
        format!("peers:\n{}", "-\t".repeat(depth)),
        (0..3_000).map(|depth| format!("{}a:\n", " ".repeat(depth))).collect(),
    ];
    for file in files {
        let findings = entry::read(&file).expect_err("no such setting is nested");
        assert!(!findings[0].message.is_empty());
    }
}

/// Guards against a finding with an empty key.
#[test]
fn a_key_without_a_name_is_reported() {
    for text in [": name", "\"\": 1", "limits:\n  : 1"] {
        let findings = entry::read(text).expect_err("there is no such setting");
        assert!(findings.iter().any(|finding| finding.key.ends_with("\"\"")), "{findings:?}");
    }
}

/// Guards against a mistyped bound of a part that is silently replaced by a default, or taken as if
/// the part were off.
#[test]
fn bounds_of_parts_out_of_range_are_refused_with_their_line() {
    let file = |parts: &str| {
        format!(
            "platform: kv\nname: e\nregion: r\nzone: z\naddress: 10.0.0.1:1\ncallers: 10.0.0.1:2\n\
             ready: 10.0.0.1:3\nstore: 10.0.0.2:4\n{parts}"
        )
    };
    let read = |parts: &str| sapphire_settings::jobs::read_entry(&file(parts));
    let absent = read("").expect("the file is valid");
    assert_eq!((absent.speeds, absent.shares, absent.stops), (None, None, None));
    assert!(!absent.calls_outlive_incarnations);
    let given = read("calls_outlive_incarnations: true\n").expect("the file is valid");
    assert!(given.calls_outlive_incarnations);
    let faults = read("calls_outlive_incarnations: 3\n").expect_err("has faults");
    assert_eq!((faults[0].line, faults[0].key.as_str()), (9, "calls_outlive_incarnations"));
    let parts = "speeds:\n  unequal_from: 1.25\nshares:\n  window: 20s\nstops:\n  limit: 0.2\n";
    let given = read(parts).expect("the file is valid");
    let (speeds, shares, stops) = (given.speeds, given.shares, given.stops);
    assert_eq!(speeds.map(|it| it.unequal_from_milli), Some(1_250));
    assert_eq!(shares.map(|it| it.window_ms), Some(20_000));
    assert_eq!(stops.map(|it| it.limit_milli), Some(200));
    let parts = "speeds:\n  unequal_from: 0.9\nshares:\n  window: 1ms\nstops:\n  limit: some\n";
    let faults = read(parts).expect_err("has faults");
    let reported: Vec<(usize, &str)> =
        faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    let expected = [(10, "speeds.unequal_from"), (12, "shares.window"), (14, "stops.limit")];
    assert_eq!(reported, expected);
}

/// Guards against a process that starts with limits of its machine that can't hold.
#[test]
fn limits_of_a_process_out_of_range_are_refused_with_their_line() {
    let text = "platform: kv\nname: a0\nregion: r\nzone: z\naddress: 127.0.0.1:1\n\
                minion: 127.0.0.1:2\nlimits:\n  memory: 1 MiB\n  descriptors: 3\n  files: 9\n";
    let findings = sapphire_settings::jobs::read_agent(text).expect_err("the limits are faulty");
    insta::assert_snapshot!(finding::report("agent.yaml", &findings));
}

/// Guards against limits of jobs that no machine's memory allows for.
#[test]
fn the_limits_of_jobs_are_checked() {
    let head = "platform: kv\nname: e\nregion: r\nzone: z\naddress: 127.0.0.1:1\n\
                callers: 127.0.0.1:2\nready: 127.0.0.1:3\nstore: 127.0.0.1:4\nlimits:\n";
    let read = |text: &str| sapphire_settings::jobs::read_entry(&format!("{head}{text}"));
    let entry = read("  memory: 260MiB\n  jobs: 20MiB\n  job_tasks: 900\n").expect("valid");
    assert_eq!((entry.job_memory, entry.job_tasks), (20 << 20, 900));
    let defaults = |memory: &str| {
        let entry = read(&format!("  memory: {memory}\n")).expect("valid");
        (entry.job_memory >> 20, entry.job_tasks)
    };
    assert_eq!(defaults("16MiB"), (1, 938));
    assert_eq!(defaults("160MiB"), (16, 18_858));
    assert_eq!(defaults("260MiB"), (28, 20_000));
    assert_eq!(defaults("512MiB"), (60, 20_000));
    for (text, key) in [
        ("  memory: 160MiB\n  jobs: 21MiB\n", "limits.jobs"),
        ("  jobs: 1KiB\n", "limits.jobs"),
        ("  memory: 160MiB\n  job_tasks: 19000\n", "limits.job_tasks"),
        ("  job_tasks: 0\n", "limits.job_tasks"),
    ] {
        let findings = read(text).expect_err(text);
        let keys: Vec<&str> = findings.iter().map(|finding| finding.key.as_str()).collect();
        assert_eq!(keys, [key], "{text}");
    }
}

/// Guards against an entry that starts with a limit of cancellations that can't hold, and against one whose
/// other limits are lost beside it.
#[test]
fn the_limit_of_cancellations_is_checked() {
    let head = "platform: kv\nname: e\nregion: r\nzone: z\naddress: 127.0.0.1:1\n\
                callers: 127.0.0.1:2\nready: 127.0.0.1:3\nstore: 127.0.0.1:4\nlimits:\n";
    let read = |text: &str| sapphire_settings::jobs::read_entry(&format!("{head}{text}"));
    let entry = read("  cancellations: 7\n  memory: 64 MiB\n").expect("the limits are valid");
    assert_eq!(entry.max_tombstones, 7);
    assert_eq!(entry.limits.map(|limits| limits.memory_bytes), Some(64 << 20));
    assert_eq!(read("  memory: 64 MiB\n").map(|entry| entry.max_tombstones), Ok(1_000));
    for value in ["0", "100001", "many"] {
        let findings = read(&format!("  cancellations: {value}\n")).expect_err(value);
        let keys: Vec<(usize, &str)> =
            findings.iter().map(|finding| (finding.line, finding.key.as_str())).collect();
        assert_eq!(keys, [(10, "limits.cancellations")], "{value}");
    }
}
