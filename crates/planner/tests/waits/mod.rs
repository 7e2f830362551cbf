//! Tests of what is known and logged of groups that are due and wait.

use std::collections::BTreeMap;

use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Incarnation, Job, Notice, Poll, Rejection, Running, Step, Unanswered, Verdict,
    task::Task,
};
use sapphire_plan::speed::{Slowness, Speeds};
use sapphire_planner::{
    event::Event,
    keys,
    wait::Reason,
    worker::{Phase, Run},
};
use sapphire_store::call::Reply;

use crate::harness::{
    Fixture, START, TERM, ended, fleet, item, job, minion, ms, no_starts, resources, run, step,
};

/// A planner whose workers list every run, and end it when it is stopped or told to end.
struct Site {
    fixture: Fixture,
    minions: BTreeMap<&'static str, Incarnation>,
    ends: BTreeMap<&'static str, Vec<Ended>>,
    /// Jobs whose runs end, with the ending of each.
    ending: BTreeMap<&'static str, Ending>,
    /// The workers do not carry out stops.
    ignores_stops: bool,
}

impl Site {
    /// Returns a planner with idle workers, each on the given rack.
    fn new(workers: &[(&'static str, &str)]) -> Self {
        let mut site = Site {
            fixture: Fixture::new(Vec::new()),
            minions: BTreeMap::new(),
            ends: BTreeMap::new(),
            ending: BTreeMap::new(),
            ignores_stops: false,
        };
        for (name, rack) in workers {
            let incarnation = Incarnation { rack: (*rack).to_owned(), ..minion(name) };
            site.minions.insert(name, incarnation);
            site.list(name);
            site.fixture.join(name, Vec::new(), Vec::new());
            site.list(name);
        }
        site
    }

    fn submit(&mut self, job: Job) {
        let jobs = vec![Job { accepted_ms: self.fixture.now, ..job }];
        self.fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    }

    fn list(&mut self, name: &'static str) {
        let known = self.fixture.planner.workers().get(name);
        let runs: Vec<(Task, Run)> = (known.iter().flat_map(|worker| &worker.runs))
            .map(|(task, run)| (task.clone(), run.clone()))
            .collect();
        let ends = self.ends.entry(name).or_default();
        let mut running = Vec::new();
        for (task, run) in runs {
            let is_stopped = run.phase == Phase::Stopping && !self.ignores_stops;
            let ending = self.ending.get(&*task.job).copied();
            let listed = task.run(run.number);
            match ending.or(is_stopped.then_some(Ending::Stopped)) {
                Some(ending) => {
                    ends.push(ended(ends.len() as u64 + 1, listed, ending));
                }
                None => {
                    running.push(Running { run: Some(listed), percent: 1, ..Running::default() });
                }
            }
        }
        let incarnation = self.minions.get(name).cloned();
        let ended = ends.clone();
        self.fixture.report(name, Poll { incarnation, running, ended, ..Poll::default() });
    }

    fn advance(&mut self, time: u64) {
        let until = self.fixture.now + time;
        while self.fixture.now < until {
            let names: Vec<&'static str> = self.minions.keys().copied().collect();
            names.into_iter().for_each(|name| self.list(name));
            self.fixture.advance(100);
        }
    }
}

/// Returns a job whose tasks each need a whole worker.
fn whole(id: &str, tasks: u32) -> Job {
    let room = Some(resources(64).message());
    job(id, TERM, Step { room, estimate_ms: 20_000, ..step(tasks, false) })
}

/// Returns the lines on groups that wait.
fn lines(fixture: &Fixture) -> Vec<&str> {
    let lines = fixture.log.iter().map(String::as_str);
    lines.filter(|line| line.contains(" waits reason=") || line.contains("left_out=")).collect()
}

/// Returns the reasons that have been logged for a job, without repetitions.
fn reasons<'a>(fixture: &'a Fixture, job: &str) -> Vec<&'a str> {
    let own = format!("job={job} ");
    let of_job = lines(fixture).into_iter().filter(|line| line.starts_with(&own));
    let reason = |line: &'a str| line.split("reason=").nth(1)?.split(' ').next();
    let mut reasons: Vec<&str> = of_job.filter_map(reason).collect();
    reasons.dedup();
    reasons
}

/// Returns the number of groups that wait for a reason, and of all that fit.
fn count(fixture: &Fixture, reason: Reason) -> (usize, usize) {
    let waits = fixture.planner.waits();
    (waits.count(reason), waits.fitting)
}

/// Guards against a group that waits without a line, against a line for each task of a step, and
/// against figures that stay after the wait.
#[test]
fn a_lack_of_capacity_is_logged_and_counted() {
    let mut site = Site::new(&[("a", "r")]);
    site.submit(whole("first", 1));
    site.advance(100);
    site.submit(whole("j", 3));
    site.advance(6_500);
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"
    job=j step=0 index=0 waits reason=capacity waited_ms=1100 limit_ms=none groups=3 workers=none free=0.01 fits=false
    job=j step=0 index=0 waits reason=capacity waited_ms=6100 limit_ms=none groups=3 workers=none free=0.01 fits=false
    ");
    assert_eq!(count(&site.fixture, Reason::Capacity), (3, 0));
    site.ending.extend([("first", Ending::Done), ("j", Ending::Done)]);
    site.advance(1_000);
    assert_eq!(count(&site.fixture, Reason::Capacity), (0, 0));
    assert_eq!(site.fixture.planner.waits().oldest, ms(0));
}

/// Guards against a group that waits for a cordoned zone as if there were no worker.
#[test]
fn a_cordon_is_told_from_a_lack_of_capacity() {
    let mut site = Site::new(&[("a", "r")]);
    site.fixture.cordon(&["z-a"]);
    site.submit(whole("j", 1));
    site.advance(1_500);
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"job=j step=0 index=0 waits reason=cordoned waited_ms=1100 limit_ms=none groups=1 workers=a free=0.00 fits=false");
    assert_eq!(count(&site.fixture, Reason::Cordoned), (1, 0));
}

/// Guards against a policy's wait that looks like a lack of capacity: the only free worker is
/// avoided.
#[test]
fn a_wait_for_workers_that_are_not_avoided_is_logged_with_its_limit() {
    let mut site = Site::new(&[("a", "r"), ("b", "r")]);
    site.submit(whole("j", 1));
    let avoided = site.fixture.worker_of("j");
    site.submit(whole("other", 1));
    site.advance(200);
    site.ending.insert("j", Ending::Faulty);
    site.advance(100);
    site.ending.clear();
    site.advance(1_500);
    assert_eq!(avoided, "a");
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"job=j step=0 index=0 waits reason=avoided waited_ms=1100 limit_ms=20000 groups=1 workers=a free=0.51 fits=true");
    assert_eq!(count(&site.fixture, Reason::Avoided), (1, 1));
}

/// Guards against a wait for a rack that no line tells of.
#[test]
fn a_wait_for_the_rack_near_the_data_is_logged_with_its_limit() {
    let mut site = Site::new(&[("a", "near"), ("b", "far")]);
    let near = |id: &str| {
        let mut job = whole(id, 1);
        job.steps[0].near_rack = "near".to_owned();
        job
    };
    site.submit(near("first"));
    site.submit(near("j"));
    site.advance(1_500);
    assert_eq!(site.fixture.worker_of("first"), "a");
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"job=j step=0 index=0 waits reason=rack waited_ms=1100 limit_ms=160000 groups=1 workers=none free=0.51 fits=true");
    assert_eq!(count(&site.fixture, Reason::Rack), (1, 1));
}

/// Guards against a wait for the resources that are reserved for a gang that looks like a lack of
/// capacity.
#[test]
fn a_wait_behind_a_reservation_is_logged() {
    let mut site = Site::new(&[("a", "r"), ("b", "r")]);
    site.submit(whole("first", 1));
    site.advance(100);
    let mut gang = whole("gang", 2);
    gang.steps[0].is_gang = true;
    site.submit(gang);
    site.advance(500);
    site.submit(Job { slack_milli: 30_000, ..whole("j", 1) });
    site.advance(3_000);
    assert_eq!(reasons(&site.fixture, "gang"), ["capacity"]);
    assert_eq!(reasons(&site.fixture, "j"), ["reserved"]);
    assert_eq!(count(&site.fixture, Reason::Reserved), (1, 1));
}

/// Guards against a wait for workers that are left to urgent work that looks like a lack of capacity.
#[test]
fn a_wait_that_leaves_workers_to_urgent_work_is_logged() {
    let names = ["a", "b", "c", "d", "e"];
    let mut site = Site::new(&names.map(|name| (name, "r")));
    site.submit(whole("j", 5));
    site.advance(1_500);
    assert_eq!(reasons(&site.fixture, "j"), ["headroom"]);
    assert_eq!(count(&site.fixture, Reason::Headroom), (1, 1));
}

/// Guards against workers that are excluded for their failures and look like a lack of capacity.
#[test]
fn a_wait_for_suspect_workers_is_logged() {
    let mut site = Site::new(&[("a", "r")]);
    // Its two attempts fail.
    site.submit(whole("bad", 1));
    site.ending.insert("bad", Ending::Faulty);
    site.advance(600);
    site.submit(whole("j", 1));
    site.advance(1_500);
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"job=j step=0 index=0 waits reason=suspect waited_ms=1100 limit_ms=none groups=1 workers=a free=1.00 fits=true");
    assert_eq!(count(&site.fixture, Reason::Suspect), (1, 1));
}

/// Guards against a wait for fast workers that looks like a lack of capacity.
#[test]
fn a_wait_for_fast_workers_is_logged_with_its_limit() {
    let mut site = Site::new(&[("f", "r"), ("s", "r")]);
    let slowness = [("f", 0.75), ("s", 3.0)];
    let slowness = slowness.map(|(name, slowness)| (name.to_owned(), Slowness::new(slowness)));
    site.fixture.planner.set_speeds(Speeds::given(slowness));
    site.submit(whole("first", 1));
    site.submit(whole("j", 1));
    site.advance(1_300);
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"job=j step=0 index=0 waits reason=slow waited_ms=1100 limit_ms=1500 groups=1 workers=none free=0.51 fits=true");
    assert_eq!(count(&site.fixture, Reason::Slow), (1, 1));
}

fn urgent(job: Job) -> Job {
    Job { queue: "urgent".to_owned(), priority: 0, ..job }
}

/// Guards against a claim that keeps a job waiting without a line after the first one.
#[test]
fn a_wait_for_claimed_resources_is_logged_with_the_workers() {
    let mut site = Site::new(&[("a", "r")]);
    site.ignores_stops = true;
    site.submit(whole("small", 1));
    site.advance(100);
    site.submit(urgent(Job { slack_milli: 1_100, ..whole("j", 1) }));
    site.advance(1_500);
    insta::assert_snapshot!(lines(&site.fixture).join("\n"), @"job=j step=0 index=0 waits reason=claim waited_ms=1100 limit_ms=1450 groups=1 workers=a free=0.01 fits=false");
    assert_eq!(count(&site.fixture, Reason::Claim), (1, 0));
}

/// Guards against an urgent job for which nothing is stopped without a line that says so.
#[test]
fn a_wait_of_an_urgent_job_that_runs_enough_tasks_is_logged() {
    let names = ["a", "b", "c", "d"];
    let mut site = Site::new(&names.map(|name| (name, "r")));
    site.submit(whole("small", 4));
    site.advance(100);
    site.submit(urgent(Job { slack_milli: 10_000, ..whole("j", 4) }));
    site.advance(1_500);
    assert!(reasons(&site.fixture, "j").contains(&"entitlement"), "{:?}", lines(&site.fixture));
}

/// Guards against a wait for unanswered starts that is logged once and then never again, and against
/// other groups that wait for the same starts without a line.
#[test]
fn waits_for_unanswered_starts_are_logged_with_the_workers() {
    let mut fixture = Fixture::new(vec![fleet(1, &["a"])]);
    fixture.join("a", Vec::new(), Vec::new());
    let mut jobs = vec![whole("j", 1)];
    fixture.handle(Event::Notice(Notice { jobs: jobs.clone(), ..Notice::default() }));
    let start = run("j", 0, 1_001);
    let verdict = Verdict { run: Some(start.clone()), rejection: Rejection::Old.into() };
    jobs = vec![Job { accepted_ms: START, ..whole("other", 1) }];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    for round in 0..30 {
        let unanswered =
            vec![Unanswered { run: Some(start.clone()), age_ms: 300 + round * 100, born_ms: 0 }];
        let verdicts = vec![verdict.clone()];
        fixture.report("a", Poll { verdicts, unanswered, ..Poll::default() });
        fixture.advance(100);
    }
    assert_eq!(reasons(&fixture, "j"), ["unanswered"]);
    assert_eq!(reasons(&fixture, "other"), ["pending"]);
    insta::assert_snapshot!(lines(&fixture)[0], @"job=j step=0 index=0 waits reason=unanswered waited_ms=1100 limit_ms=22500 groups=1 workers=a free=1.00 fits=true");
    assert_eq!(count(&fixture, Reason::Unanswered), (1, 2));
}

/// Guards against jobs that wait for the end of a take-over without a line.
#[test]
fn a_wait_for_the_end_of_the_take_over_is_logged() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "lost"]),
        no_starts(1),
        item(keys::job("j"), job("j", TERM - 1, step(2, false)).encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    fixture.advance(1_500);
    insta::assert_snapshot!(lines(&fixture).join("\n"), @"job=j step=0 index=0 waits reason=takeover waited_ms=1100 limit_ms=11420 groups=2 workers=lost free=unknown fits=unknown");
    assert_eq!(count(&fixture, Reason::Takeover), (2, 0));
}

/// Guards against a planner that places nothing because of its handover record without a line on the
/// jobs that wait.
#[test]
fn a_wait_for_an_incomplete_handover_record_is_logged() {
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a"]),
        item(keys::job("j"), job("j", TERM - 1, step(1, false)).encode_to_vec()),
    ]);
    fixture.join("a", Vec::new(), Vec::new());
    fixture.advance(3_000);
    assert_eq!(reasons(&fixture, "j"), ["handover"]);
    assert_eq!(count(&fixture, Reason::Handover), (1, 0));
}

/// Guards against a term whose first write has no reply, and which places nothing without a line.
#[test]
fn a_wait_for_the_start_of_the_term_is_logged() {
    let mut fixture = Fixture::reading();
    let items = vec![
        fleet(1, &["a"]),
        no_starts(1),
        item(keys::job("j"), job("j", TERM - 1, step(1, false)).encode_to_vec()),
    ];
    fixture.reply(Reply::Items { items, has_more: false, revision: 40 });
    fixture.advance(3_000);
    assert_eq!(reasons(&fixture, "j"), ["startup"]);
    assert_eq!(count(&fixture, Reason::Startup), (1, 0));
}

/// Guards against a planner that places nothing since it does not know the cordons, without a line.
#[test]
fn a_wait_for_the_list_of_cordons_is_logged() {
    let mut site = Site::new(&[("a", "r")]);
    site.fixture.cordoned = None;
    site.advance(5_000);
    site.submit(whole("j", 1));
    site.advance(3_000);
    assert_eq!(reasons(&site.fixture, "j"), ["cordons"]);
    assert_eq!(count(&site.fixture, Reason::Cordons), (1, 0));
}

/// Guards against a planner past the end of its lease that places nothing without a line on the jobs
/// that wait, and against an isolation that looks like an outage.
#[test]
fn a_wait_for_the_lease_is_logged() {
    for (polling, reason, name) in [(false, Reason::Lease, "lease"), (true, Reason::Store, "store")]
    {
        let mut site = Site::new(&[("a", "r")]);
        let polls = |site: &mut Site, age: u64| {
            for entry in ["e1", "e2", "e3"] {
                site.fixture.feed(entry, age);
            }
        };
        polls(&mut site, 0);
        let expiry = ms(site.fixture.now + 300);
        site.fixture.planner.set_lease_expiry(expiry);
        for round in 0..12 {
            if polling {
                polls(&mut site, 500 + round * 250);
            }
            if round == 3 {
                site.submit(whole("j", 1));
            }
            site.advance(200);
        }
        assert_eq!(reasons(&site.fixture, "j"), [name]);
        assert_eq!(count(&site.fixture, reason), (1, 0));
    }
}

/// Guards against a gang that waits for a member of an earlier run without a line.
#[test]
fn a_wait_for_a_run_that_may_still_be_there_is_logged() {
    let gang = job("g", TERM - 1, step(2, true));
    let mut fixture = Fixture::new(vec![
        fleet(1, &["a", "b"]),
        no_starts(1),
        item(keys::job("g"), gang.encode_to_vec()),
    ]);
    let running = |index| Running { run: Some(run("g", index, 1)), ..Running::default() };
    fixture.join("c", Vec::new(), Vec::new());
    fixture.join("a", vec![running(1)], Vec::new());
    fixture.poll("a", Vec::new(), vec![ended(1, run("g", 1, 1), Ending::Stopped)]);
    fixture.join("b", vec![running(0)], Vec::new());
    for _ in 0..15 {
        fixture.poll("a", Vec::new(), vec![ended(1, run("g", 1, 1), Ending::Stopped)]);
        fixture.poll("b", vec![running(0)], Vec::new());
        fixture.poll("c", Vec::new(), Vec::new());
        fixture.advance(100);
    }
    insta::assert_snapshot!(lines(&fixture).join("\n"), @"job=g step=0 index=0 waits reason=running waited_ms=1100 limit_ms=none groups=1 workers=b free=0.99 fits=true");
    assert_eq!(count(&fixture, Reason::Running), (1, 1));
}

/// Guards against a change of the reason that is logged only with the next repetition.
#[test]
fn a_change_of_the_reason_is_logged_at_once() {
    let mut site = Site::new(&[("a", "r")]);
    site.submit(whole("first", 1));
    site.advance(100);
    site.submit(whole("j", 1));
    site.advance(1_500);
    site.fixture.cordon(&["z-a"]);
    site.ending.insert("first", Ending::Done);
    site.advance(1_500);
    assert_eq!(reasons(&site.fixture, "j"), ["capacity", "cordoned"]);
}

/// Guards against a log that is flooded when many jobs wait, and against a job among them that never
/// gets its line.
#[test]
fn the_rate_of_lines_is_bounded() {
    const JOBS: usize = 30;
    let mut site = Site::new(&[("a", "r")]);
    site.submit(whole("first", 1));
    site.advance(100);
    for number in 0..JOBS {
        site.submit(whole(&format!("j{number:02}"), 1));
    }
    let mut earlier = 0;
    for _ in 0..20 {
        site.advance(1_000);
        let all = lines(&site.fixture);
        let new = all[earlier..].iter().filter(|line| line.contains(" waits reason=")).count();
        assert!(new <= 8, "at most four lines in each of two periods, not {new}");
        earlier = all.len();
    }
    let all = lines(&site.fixture);
    let written = all.iter().filter(|line| line.contains(" waits reason=")).count();
    assert!(written <= 84, "{written} lines in 20 s");
    assert!(all.iter().any(|line| line.starts_with("waits left_out=")), "{all:?}");
    for number in 0..JOBS {
        assert_eq!(reasons(&site.fixture, &format!("j{number:02}")), ["capacity"]);
    }
    assert_eq!(count(&site.fixture, Reason::Capacity), (JOBS, 0));
}
