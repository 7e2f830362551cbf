//! Agents that are cut off from the planner, or paused.

use super::{CALM, LEFT, LONG_LEFT, Play, SHORT, Scene, assert_kept};
use crate::presence::site::Writes;

const QUICK: Writes = Writes { time: 40, has_timeout: false };

const SHORT_CUTS: [Play; 12] = [
    ("poll closed, in contact", |s| {
        s.contact_after(1_600, 50);
        s.site.close_polls(s.name);
        s.until(s.run_time - 20);
        s.cut_until(s.expiry() + SHORT);
    }),
    ("cut off for 1.3 s", |s| s.cut_until(CALM + 1_300)),
    ("cut off for 2.5 s", |s| s.cut_until(CALM + 2_500)),
    ("cut off for 3.8 s", |s| s.cut_until(CALM + 3_800)),
    ("cut off at the end for 2.5 s", |s| {
        s.until(s.run_time - 200);
        s.cut_until(s.run_time + 2_300);
    }),
    ("cut off twice", |s| s.cut_twice(QUICK, 50)),
    ("cut off twice, writes of 0.48 s", |s| {
        s.cut_twice(Writes { time: 480, has_timeout: false }, 50);
    }),
    ("answers lost", |s| {
        s.worker().loses_answers = true;
        s.until(s.expiry() + SHORT);
        s.worker().loses_answers = false;
    }),
    ("answers 0.35 s late", |s| {
        s.worker().answer_time = 350;
        s.until(s.expiry() + 600);
        s.worker().answer_time = 0;
    }),
    ("answers 0.9 s late", |s| {
        s.worker().answer_time = 900;
        s.until(s.expiry() + 600);
        s.worker().answer_time = 0;
    }),
    ("paused for 1.5 s at the end", |s| {
        s.until(s.run_time - 20);
        s.pause_until(s.run_time + 1_500);
    }),
    ("paused for 3 s at the end", |s| {
        s.until(s.run_time - 20);
        s.pause_until(s.run_time + 3_000);
    }),
];

/// Guards against a task that is done and starts again although its agent reports before its lease ends.
#[test]
fn cuts_within_the_lease_start_no_task_that_is_done() {
    assert_kept(&SHORT_CUTS, LEFT);
}

const PAUSES: [Play; 3] = [
    ("paused for 1.5 s", |s| s.pause_until(CALM + 1_500)),
    ("paused for 3.3 s", |s| s.pause_until(CALM + 3_300)),
    ("paused until after the lease", |s| s.pause_until(s.expiry() + SHORT)),
];

/// Guards against a task that is done and starts again because its agent was paused before its end.
#[test]
fn pauses_before_the_end_start_no_task_that_is_done() {
    assert_kept(&PAUSES, LONG_LEFT);
}

/// Guards against a task that is done and starts again because its agent is paused from its end on.
#[test]
fn a_pause_at_the_end_starts_no_task_that_is_done() {
    let play: Play = ("paused at the end until after the lease", |s| {
        s.until(s.run_time - 20);
        s.pause_until(s.run_time + s.expiry() + SHORT);
    });
    assert_kept(&[play], LONG_LEFT);
}

const LONG_CUTS: [Play; 2] = [
    ("cut off until after the lease", |s| s.cut_until(s.expiry() + SHORT)),
    ("polls lost until after the lease", |s| {
        s.worker().loses_polls = true;
        s.until(s.expiry() + SHORT);
        s.worker().loses_polls = false;
    }),
];

/// Guards against a task that is done and starts again because its agent is out of contact for longer than
/// the lease lasts.
#[test]
fn a_cut_that_outlasts_the_lease_starts_no_task_that_is_done() {
    assert_kept(&LONG_CUTS, LEFT);
}

/// Guards against the same where the cut begins right before the end, so that it lasts for longer.
#[test]
fn a_cut_from_the_end_on_that_outlasts_the_lease_starts_no_task_that_is_done() {
    let play: Play = ("cut off from the end on until after the lease", |s| {
        s.until(s.run_time - 200);
        s.cut_until(s.run_time + s.expiry() + SHORT);
    });
    assert_kept(&[play], LEFT);
}

/// Guards against runs that lapse on a worker that is back in time, and whose poll is lost before it is
/// answered.
#[test]
fn a_worker_that_is_back_is_granted_a_lease_at_once() {
    for bounds in super::BOUNDS {
        let mut scene = Scene::new(bounds, 40_000);
        let time = scene.expiry() * 6 / 10;
        scene.contact_after(time, 100);
        let back_at = scene.began + time;
        let leased_at = scene.worker().leased_at;
        assert!(leased_at > back_at, "lease {}: {leased_at}, back at {back_at}", bounds.granted);
    }
}

/// Closes the polls of an agent that is cut off.
fn close(scene: &mut Scene) {
    scene.worker().is_cut_off = true;
    scene.site.close_polls(scene.name);
}

const CLOSED: [Play; 3] = [
    ("poll closed 0.05 s after its list", |s| {
        s.contact_after(1_600, 50);
        close(s);
        s.cut_until(s.expiry() + SHORT);
    }),
    ("poll closed 0.3 s after its list", |s| {
        s.contact_after(1_600, 300);
        close(s);
        s.cut_until(s.expiry() + SHORT);
    }),
    ("polls late, each read with its end", |s| {
        s.worker().holds_polls = true;
        let until = s.began + 3_700;
        while s.worker().saved_heard_at < s.began && s.site.now < until {
            s.site.run(10);
            s.site.deliver_given_up(s.name);
        }
        s.worker().holds_polls = false;
        s.cut_until(s.expiry() + 8 * SHORT);
    }),
];

/// Guards against a task that is done and starts again although a list of its run has arrived in between:
/// the poll that brought it was closed before it was answered, so no lease was granted for it.
#[test]
fn a_poll_that_is_closed_starts_no_task_that_is_done() {
    assert_kept(&CLOSED, LEFT);
}
