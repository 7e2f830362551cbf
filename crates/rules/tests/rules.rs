//! Tests that a rule file is checked completely and that each finding has its line and column.

use std::{fs, path};

use sapphire_rules::{diff, file, finding};

mod fuzz;

const GOOD: &str = "\
# Rules of the graduate offices.
organisation grad-office weight=2 priority=5   # Ines Prata, 2026-11-02
organisation archive                           # Ines Prata
guarantee grad-office accelerators=8 tasks=2 adjacency=rack zone=norte-a # Ines Prata
quota archive accelerators=16                  # Rui Sal
admission archive queue=50                     # Rui Sal
reclaim grace=30s order=smallest               # Rui Sal
balance completion=70 fragmentation=30         # Ines Prata
drain rack=norte-a-r2                          # Rui Sal: new switch
retries archive attempts=2                     # Rui Sal
";

const TEN_FAULTS: &str = "\
organisation grad-office
organisation grad office weight=0 # Ines
guarantee grad-office accelerators=8 adjacency=near zone=norte-a # Ines
guarantee nobody accelerators=8 adjacency=rack # Ines
quota grad-office # Rui
admission grad-office queue=many # Rui
reclaim grace=30 # Rui
reclaim grace=30s grace=40s colour=red # Rui
drain worker=w1 rack=r1 # Rui
promise grad-office # Rui
";

#[test]
fn a_good_file_is_read() {
    insta::assert_debug_snapshot!(file::File::parse(GOOD));
}

#[test]
fn every_fault_is_reported_with_its_place() {
    let findings = file::File::parse(TEN_FAULTS).expect_err("the file has faults");
    insta::assert_snapshot!(finding::report(&findings));
}

#[test]
fn the_example_rules_are_good() {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for member in ["atlantica", "pastizal"] {
        let text = fs::read_to_string(examples.join(member).join("rules.txt"));
        let rules = file::File::parse(&text.expect("the file can be read"))
            .expect("the file has no faults");
        assert_eq!(rules.organisations().count(), 4, "{member}");
    }
}

#[test]
fn a_difference_names_both_revisions() {
    let new = GOOD.replace("queue=50", "queue=60");
    insta::assert_snapshot!(diff::unified(GOOD, &new, "revision 4", "rules.txt"));
    assert_eq!(diff::unified(GOOD, GOOD, "a", "b"), "");
}

/// Guards against memory that findings take, which is many times that of the file, and against the time
/// that it takes to collect them.
#[test]
fn findings_of_a_file_of_faults_are_limited() {
    for text in ["x\n".repeat(500_000), "reclaim grace=1s # Ines\n".repeat(40_000)] {
        let findings = file::File::parse(&text).err().unwrap_or_default();
        assert_eq!(findings.len(), 1_001, "{text:.80}");
        assert!(findings[1_000].message.ends_with("the rest was not checked"), "{text:.80}");
    }
}
