//! Command line without a running entry: exit codes and output.

use std::{fs, path::PathBuf, process::Command};

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the temporary directory is writable");
    path
}

/// Runs the command line and returns its exit code, standard output and standard error as one text.
fn run(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirectl"))
        .args(args)
        .output()
        .expect("cargo builds the binary for this test");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().unwrap_or(-1);
    format!("exit {code}\n{}{}", text(&output.stdout), text(&output.stderr))
}

#[test]
fn all_findings_in_a_file_are_reported() {
    let path = file("faults.txt", "organisation a\nquota b accelerators=x # Rui\n");
    let path = path.to_str().expect("the path is text");
    insta::assert_snapshot!(run(&["rules", "check", "--offline", path]));
    insta::assert_snapshot!(run(&["--json", "rules", "check", "--offline", path]));
}

#[test]
fn a_valid_file_has_no_findings() {
    let path = file("good.txt", "organisation a # Ines\n");
    let path = path.to_str().expect("the path is text");
    insta::assert_snapshot!(run(&["rules", "check", "--offline", path]));
}

/// No entry is given, its address is malformed, or nothing listens there. The command fails at once
/// with a message that names the cause, without a panic.
#[test]
fn an_unreachable_entry_is_reported() {
    insta::assert_snapshot!(run(&["--entry", "here", "workers"]));
    insta::assert_snapshot!(run(&["workers"]));
    let refused = run(&["--entry", "127.0.0.1:1", "job", "cancel", "norte.x"]);
    assert!(refused.starts_with("exit 1\n"), "{refused}");
    assert!(refused.contains("no entry answered"), "{refused}");
}

#[test]
fn help_names_commands_and_exit_codes() {
    insta::assert_snapshot!(run(&["--help"]));
    insta::assert_snapshot!(run(&["rules", "apply", "--help"]));
}

/// A report on an empty file, a file of other text, a missing file or no file at all ends with a
/// message and a documented exit code.
#[test]
fn a_report_without_readable_lines_fails() {
    let path = |name, text| file(name, text).to_str().expect("the path is text").to_owned();
    let empty = run(&["report", &path("empty.log", "")]);
    let other = run(&["report", &path("other.log", "hello\nworld\n")]);
    assert_eq!(empty, "exit 2\nnone of 0 lines can be read as a log of sapphired\n");
    assert_eq!(other, "exit 2\nnone of 2 lines can be read as a log of sapphired\n");
    assert_eq!(run(&["report"]), "exit 2\nno log file is given\n");
    let missing = run(&["report", "no-such.log"]);
    assert!(missing.starts_with("exit 1\n") && missing.contains("no-such.log"), "{missing}");
}
