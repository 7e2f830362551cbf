//! Minions that refuse connections, hang, or have deregistered.

use super::{CALM, LEFT, LONG_LEFT, Play, SHORT, Scene, assert_kept};
use crate::{harness::step, presence::site::Conduct};

/// Connections are refused until the agent reports the minion as absent, then answered until it doesn't,
/// again and again, so that lists get through.
fn flap(scene: &mut Scene, time: u64) {
    let until = scene.began + time;
    for conduct in [Conduct::Refuses, Conduct::Answers].into_iter().cycle() {
        scene.conduct(conduct);
        let is_refusing = conduct == Conduct::Refuses;
        while scene.worker().reports_absent != is_refusing && scene.site.now < until {
            scene.site.run(10);
        }
        if scene.site.now >= until {
            break;
        }
    }
    scene.conduct(Conduct::Answers);
}

const REFUSALS: [Play; 7] = [
    ("refuses until before the end of the lease", |s| {
        s.conduct_until(Conduct::Refuses, s.expiry() - 300)
    }),
    ("refuses until after the lease", |s| s.conduct_until(Conduct::Refuses, s.expiry() + 100)),
    ("refuses new calls until before the end of the lease", |s| {
        s.conduct_until(Conduct::RefusesNew, s.expiry() - 300);
    }),
    ("refuses new calls until after the lease", |s| {
        s.conduct_until(Conduct::RefusesNew, s.expiry() + 100);
    }),
    ("refuses all but long polls", |s| {
        for at in 0..20 {
            s.site.submit(&format!("k{at}"), step(8, false));
            s.conduct_until(Conduct::RefusesOrders, CALM + at * 300);
        }
    }),
    ("refuses and answers in turn until its task is done", |s| flap(s, s.run_time - 50)),
    ("refuses and answers in turn until after the lease", |s| flap(s, s.expiry() + 100)),
];

/// Guards against a task that is done and starts again because some or all calls were refused.
#[test]
fn refused_calls_start_no_task_that_is_done() {
    assert_kept(&REFUSALS, LONG_LEFT);
}

const HANGS: [Play; 4] = [
    ("hangs for 3 s", |s| s.conduct_until(Conduct::Silent, CALM + 3_000)),
    ("hangs until before the end of the lease", |s| {
        s.conduct_until(Conduct::Silent, s.expiry() - 300)
    }),
    ("hangs until after the lease", |s| s.conduct_until(Conduct::Silent, s.expiry() + 100)),
    ("hangs for 6 s from the end on", |s| {
        s.until(s.run_time - 20);
        s.conduct_until(Conduct::Silent, s.run_time + 6_000);
    }),
];

/// Guards against a task that is done and starts again because its minion has answered nothing for a while.
#[test]
fn a_minion_that_hangs_starts_no_task_that_is_done() {
    assert_kept(&HANGS, LONG_LEFT);
}

/// The minion has drained and deregisters, but goes on.
fn deregister(scene: &mut Scene, time: u64) {
    scene.site.drain(scene.name);
    scene.until(time);
    scene.site.program(scene.name).is_beating = false;
    scene.site.deregister(scene.name);
}

const DEPARTURES: [Play; 2] = [
    ("deregisters", |s| deregister(s, 1_000)),
    ("deregisters, then refuses", |s| {
        deregister(s, 1_000);
        s.until(2_500);
        s.conduct(Conduct::Refuses);
    }),
];

/// Guards against a task that is done and starts again because its minion had deregistered before.
#[test]
fn a_deregistered_minion_starts_no_task_that_is_done() {
    assert_kept(&DEPARTURES, LEFT);
}

/// Guards against the same if its agent is cut off while the task ends: no lease is granted from the
/// deregistration on, although lists arrive.
#[test]
fn a_deregistered_minion_that_is_cut_off_starts_no_task_that_is_done() {
    let play: Play = ("deregisters, cut off at the end", |s| {
        deregister(s, 300);
        s.until(s.run_time - 100);
        s.cut_until(s.expiry() + 4 * SHORT);
    });
    assert_kept(&[play], LEFT);
}

const GONE: [Play; 2] = [
    ("cut off, restarts after its end was listed", |s| {
        s.until(s.run_time - 50);
        s.worker().is_cut_off = true;
        s.until(s.run_time + 300);
        let name = s.name;
        s.site.crash(name);
        s.site.run(50);
        s.site.start_minion(name);
        s.site.run(200);
        s.worker().is_cut_off = false;
    }),
    ("drains and leaves during a change of planners", |s| {
        let name = s.name;
        s.site.drain(name);
        s.until(s.run_time - 50);
        s.worker().is_cut_off = true;
        s.until(s.run_time + 300);
        s.site.deregister(name);
        s.site.crash(name);
        s.worker().program.is_beating = false;
        s.site.run(800);
        s.worker().is_cut_off = false;
        s.site.take_over();
    }),
];

/// Guards against a task that is done and starts again although its agent knows the end: it drops what its
/// minion has listed once that is gone.
#[test]
fn an_end_that_was_listed_outlives_its_minion() {
    assert_kept(&GONE, 1_500);
}
