//! Workers that the stored list calls silent while they poll again.

use super::{BOUNDS, LEFT, Play, SHORT, Scene, assert_kept};
use crate::{harness::step, presence::site::Writes};

const SLOW: [Play; 6] = [
    ("cut off twice, writes of 0.8 s", |s| s.cut_twice(writes(800, false), 50)),
    ("cut off twice, writes of 2 s", |s| s.cut_twice(writes(2_000, false), 50)),
    ("cut off twice, writes of 2 s, in contact for 1.2 s", |s| {
        s.cut_twice(writes(2_000, false), 1_200);
    }),
    ("cut off twice, writes of 0.48 s without an answer", |s| s.cut_twice(writes(480, true), 50)),
    ("cut off twice, writes of 0.8 s without an answer", |s| s.cut_twice(writes(800, true), 1_200)),
    ("cut off, writes of 0.8 s, paused at the end", |s| {
        s.site.writes = writes(800, false);
        s.contact_after(1_600, 50);
        s.worker().is_cut_off = true;
        s.until(s.run_time - 20);
        s.pause_until(s.expiry() + SHORT);
        s.worker().is_cut_off = false;
    }),
];

fn writes(time: u64, has_timeout: bool) -> Writes {
    Writes { time, has_timeout }
}

/// Guards against a task that is done and starts again although a list of its run has arrived in between:
/// the stored list still calls its worker silent, so no lease is granted.
#[test]
fn a_slow_list_of_workers_starts_no_task_that_is_done() {
    assert_kept(&SLOW, LEFT);
}

/// Returns how long a worker that is in contact again is granted no lease, 10 s at most. Other workers are
/// out of contact again and again meanwhile, if so.
fn withheld(scene: &mut Scene, writes: Writes, has_others: bool) -> u64 {
    scene.site.writes = writes;
    if has_others {
        scene.site.submit("k", step(8, false));
        scene.until(500);
    }
    let other = if scene.name == "a" { "b" } else { "a" };
    scene.cut_until(2_000);
    let (since, leased_at) = (scene.site.now, scene.worker().leased_at);
    while scene.worker().leased_at == leased_at && scene.site.now < since + 10_000 {
        let is_cut_off = has_others && (scene.site.now - since) % 1_600 < 1_450;
        scene.site.workers.get_mut(other).expect("it is known").is_cut_off = is_cut_off;
        scene.site.run(10);
    }
    scene.site.now - since
}

/// Guards against runs that lapse on a worker that polls with lists, since writes of the list of workers are
/// slow, have no answer in time, or are followed by those for others.
#[test]
fn a_worker_in_contact_is_granted_a_lease_while_writes_are_slow() {
    let mut late = Vec::new();
    for bounds in BOUNDS {
        for (time, has_timeout) in
            [(40, true), (300, true), (400, true), (800, false), (2_000, false), (800, true)]
        {
            for has_others in [false, true] {
                let mut scene = Scene::new(bounds, 40_000);
                let waited = withheld(&mut scene, writes(time, has_timeout), has_others);
                let text = format!(
                    "lease {}, writes of {time} ms, time-outs {has_timeout}, others {has_others}: \
                     {waited} ms",
                    bounds.granted
                );
                println!("{text}");
                // The lease of a run that began with its start lasts for no longer.
                let is_late = 2_000 + waited >= bounds.granted;
                scene.site.run(10_000);
                let is_over = scene.site.runs_on("j") != scene.name;
                late.extend((is_late || is_over).then_some(text));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against a task that runs twice: a worker of an earlier planner is granted a lease while the list
/// calls it silent, and a successor has seen the term of that list before its planner knew of it.
#[test]
fn a_successor_takes_no_granted_lease_for_over() {
    for bounds in BOUNDS {
        for earlier in [0, 350, 800, 1_200] {
            let mut scene = Scene::new(bounds, 60_000);
            scene.worker().is_cut_off = true;
            scene.site.take_over();
            let (began, term) = (scene.site.now, scene.site.planner.planner.term());
            scene.site.run(1_500);
            scene.worker().is_cut_off = false;
            scene.site.writes = writes(60_000, true);
            scene.site.run(bounds.bound() + 2_800);
            scene.worker().is_cut_off = true;
            scene.site.writes = Writes::default();
            scene.site.take_over_seeing(&[(term, began - earlier)]);
            scene.site.run(8_000);
            let why = format!("lease {}, seen {earlier} ms before", bounds.granted);
            assert!(scene.site.twice.is_empty(), "{why}: {:?}", scene.site.twice);
        }
    }
}

/// Guards against a lease that is withheld without a word: nothing is left of it by the recorded end.
#[test]
fn a_lease_of_which_nothing_is_left_is_withheld() {
    for bounds in BOUNDS {
        let mut scene = Scene::new(bounds, 40_000);
        scene.cut_until(2_000);
        scene.site.writes = writes(60_000, true);
        scene.cut_until((scene.expiry() - 1_000).min(4_000));
        scene.site.run(8_000);
        let longest = scene.site.planner.planner.leases().longest;
        assert!(longest.as_millis() >= 1_000, "lease {}: {longest:?}", bounds.granted);
    }
}
