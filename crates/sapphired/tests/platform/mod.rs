//! The daemon's two roles on a stand-in of the users' platform, as processes under faults.

use std::path::PathBuf;

use sapphire_soak::soak;

fn play(seed: u64, faults: u32) -> soak::Outcome {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{seed}"));
    let options = soak::Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sapphired")),
        folder,
        seed,
        jobs: 20,
        faults,
        net: seed as u8,
    };
    soak::run(options).expect("processes can be started on loopback")
}

/// The whole path: callers' jobs through entries, store, planner and agents to minions and back.
#[test]
fn jobs_are_served() {
    let outcome = play(251, 0);
    assert_eq!(outcome.broken, Vec::<String>::new());
    assert_eq!((outcome.accepted, outcome.complete), (20, 20));
}

/// Processes are killed, ended and paused, the store's connections are delayed, silenced and
/// reset, minions crash: no promise is broken and every accepted job is complete in the end.
#[test]
fn faults_break_no_promise() {
    let outcome = play(252, 5);
    assert_eq!(outcome.broken, Vec::<String>::new(), "faults: {:?}", outcome.faults);
    assert_eq!(outcome.accepted, outcome.complete);
}
