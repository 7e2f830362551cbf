//! The daemon's two roles on a stand-in of the users' platform, as processes under faults.

use std::{path::PathBuf, time::Duration};

use sapphire_soak::{conditions::Conditions, soak, trouble::Trouble};

fn play(seed: u64, faults: u32, conditions: Conditions, trouble: Trouble) -> soak::Outcome {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{seed}"));
    let options = soak::Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sapphired")),
        folder,
        seed,
        jobs: 20,
        faults,
        net: seed as u8,
        conditions,
        trouble,
    };
    soak::run(options).expect("processes can be started on loopback")
}

/// The whole path: callers' jobs through entries, store, planner and agents to minions and back.
#[test]
fn jobs_are_served() {
    let outcome = play(251, 0, Conditions::default(), Trouble::default());
    assert_eq!(outcome.broken, Vec::<String>::new());
    assert_eq!((outcome.accepted, outcome.complete), (20, 20));
}

/// Processes are killed, ended and paused, the store's connections are delayed, silenced and
/// reset, minions crash: no promise is broken and every accepted job is complete in the end.
#[test]
fn faults_break_no_promise() {
    let outcome = play(252, 5, Conditions::default(), Trouble::default());
    assert_eq!(outcome.broken, Vec::<String>::new(), "faults: {:?}", outcome.faults);
    assert_eq!(outcome.accepted, outcome.complete);
}

/// Guards against tasks and room given away, or members of gangs left alone, while a start or a stop may still take effect.
#[test]
fn late_orders_and_gangs_break_no_promise() {
    let trouble = Trouble { late_orders: true, gangs: true, links: false };
    let outcome = play(254, 2, Conditions::default(), trouble);
    assert_eq!(outcome.broken, Vec::<String>::new(), "faults: {:?}", outcome.faults);
    assert_eq!(outcome.accepted, outcome.complete);
}

/// All entries refused their callers for good: 503 with the reason that the configuration may be out
/// of date, for new jobs as well as for the state of jobs that were done. The configuration had
/// grown to some 820 KB, which a link of 1.25 MB a second carries in 0.66 s, and a call to the store
/// was given up after 0.42 s whether its answer was arriving or not. What had arrived was thrown
/// away, and the call was made again: `store call=catalog way=Straight ms=420 failed: Timeout` stands
/// 275 times in the logs of eight entries, and the second `configuration version=` in none of them.
#[test]
fn a_large_configuration_on_a_slow_link_is_served() {
    let conditions = Conditions {
        idle_routes: 3_600,
        link: Some(1_250_000),
        history: Some(Duration::from_millis(300)),
        watch: Duration::from_millis(600),
    };
    let outcome = play(253, 0, conditions, Trouble::default());
    assert_eq!(outcome.broken, Vec::<String>::new());
    assert_eq!((outcome.accepted, outcome.complete), (20, 20));
}
