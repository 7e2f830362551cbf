//! Tests of a minion that seems to be absent: as long as it may run a task, and no proof of the end of
//! that run has come, no next run of the task begins elsewhere.

use sapphire_jobs::Step;

use crate::harness::step;

mod crashed;
mod drained;
mod foreign;
mod refused;
mod reported;
mod restarted;
pub(crate) mod site;
mod starts;
mod unlisted;

use site::Site;

/// Time that a message takes at most, and the planner's next pass.
const MARGIN: u64 = 600;
/// Longest lease that a minion accepts, with the drift of its clock and the margin.
const LONGEST_LEASE: u64 = 10_000 + 200 + 300;
/// Run time of a task that goes on for all of a test.
const LONG: u64 = 40_000;

/// Returns a step of one task that runs for this time.
fn task(run_time: u64) -> Step {
    Step { estimate_ms: run_time, ..step(1, false) }
}

/// Returns a site on which the task of a job runs, with the worker that it runs on.
fn running(run_time: u64) -> (Site, &'static str) {
    running_on(Site::new(&["a", "b"], run_time), run_time)
}

/// Has the task of a job run on a site.
fn running_on(mut site: Site, run_time: u64) -> (Site, &'static str) {
    site.submit("j", task(run_time));
    site.run(500);
    let name = site.runs_on("j");
    assert_ne!(name, "", "{:?}", site.planner.log);
    (site, name)
}

/// Asserts that the task of the job has begun once, and that nothing was stopped.
fn assert_goes_on(site: &Site, why: &str) {
    assert_eq!(site.twice, Vec::<String>::new(), "{why}: {:#?}", site.planner.log);
    assert_eq!(site.starts_of("j").len(), 1, "{why}: {:#?}", site.planner.log);
    assert!(site.stops.is_empty(), "{why}: {:?}", site.stops);
}

/// Asserts that no task ran twice.
fn assert_once(site: &Site, why: &str) {
    assert_eq!(site.twice, Vec::<String>::new(), "{why}: {:#?}", site.planner.log);
}
