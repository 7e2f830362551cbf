//! A planner with a simulated store and workers, driven event by event.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Feed, FeedPoll, Fleet, Incarnation, Job, Member, Orders, Poll, Run, Running,
    Step, UnansweredStarts,
    catalog::{Catalog, Parts, Queue},
    cordon,
    resources::Resources,
};
use sapphire_plan::{policy, speed};
use sapphire_planner::{
    effect::Effect,
    event::{Event, Moment, Operation},
    keys,
    options::Options,
    planner::Planner,
};
use sapphire_store::call::{Call, Item, Reply};

pub(crate) const TERM: u64 = 50;
pub(crate) const START: u64 = 100_000;
/// Prefix of the keys of cordons.
pub(crate) const CORDONS: &str = "cordons/";

/// Decodes a cordon: the value `bad` is invalid, and a key without a zone names none.
pub(crate) fn read_cordon(key: &str, value: &Bytes) -> cordon::Record {
    let zone = key.strip_prefix(CORDONS).filter(|zone| !zone.is_empty()).map(str::to_owned);
    let is_valid = zone.is_some() && &value[..] != b"bad";
    cordon::Record { zone, fault: (!is_valid).then(|| "invalid".to_owned()) }
}

pub(crate) fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub(crate) fn resources(accelerators: u64) -> Resources {
    Resources { millicores: 1_000, memory_mib: 1_000, accelerators }
}

pub(crate) fn job(id: &str, term: u64, step: Step) -> Job {
    Job {
        id: id.to_owned(),
        queue: "q".to_owned(),
        service: "desk".to_owned(),
        spec: "s".to_owned(),
        steps: vec![step],
        max_attempts: 2,
        slack_milli: 3_000,
        accepted_ms: START,
        term,
        ..Job::default()
    }
}

pub(crate) fn step(tasks: u32, is_gang: bool) -> Step {
    Step {
        tasks,
        room: Some(resources(1).message()),
        estimate_ms: 2_000,
        is_gang,
        ..Step::default()
    }
}

pub(crate) fn run(job: &str, index: u32, number: u32) -> Run {
    Run { job: job.to_owned(), occurrence: 0, step: 0, index, run: number }
}

/// Returns the minion of a worker.
pub(crate) fn minion(name: &str) -> Incarnation {
    Incarnation {
        id: format!("m-{name}"),
        born_ms: 1,
        service: "desk".to_owned(),
        rack: "r".to_owned(),
        capacity: Some(resources(8).times(8).message()),
        zone: format!("z-{name}"),
        ..Incarnation::default()
    }
}

/// Returns the options of a planner under test.
pub(crate) fn options() -> Options {
    Options {
        name: "e".to_owned(),
        lease: ms(6_000),
        longest_lease: ms(10_000),
        clock_drift_milli: 20,
        stop_timeout: ms(400),
        status_retention: ms(120_000),
        reclaim_deadline: ms(2_900),
        remote_factor: 3,
        policy: policy::Policy::default(),
        speeds: Default::default(),
        shares: None,
        stops: None,
        calls_outlive_incarnations: true,
        job_memory: 32 << 20,
        has_inventory: false,
        cordon_prefix: CORDONS.to_owned(),
        read_cordon,
        cordon_deadline: ms(5_000),
        cancel_deadline: ms(3_000),
    }
}

/// A planner under test, with the effects that it has asked for.
pub(crate) struct Fixture {
    pub(crate) planner: Planner,
    pub(crate) now: u64,
    pub(crate) orders: Vec<(u64, Orders)>,
    pub(crate) feeds: Vec<Feed>,
    pub(crate) calls: Vec<(Operation, Call)>,
    pub(crate) is_deposed: bool,
    pub(crate) log: Vec<String>,
    pub(crate) sequence: BTreeMap<String, u64>,
    pub(crate) tokens: BTreeMap<String, u64>,
    pub(crate) requester: u64,
    /// Generations of the agents' processes, by worker.
    pub(crate) generations: BTreeMap<String, u64>,
    /// Cordoned zones, as the store lists them; `None` if it does not answer.
    pub(crate) cordoned: Option<Vec<&'static str>>,
    /// Requests for the list of cordons that were not answered.
    pub(crate) unread_cordons: usize,
    /// Further records in the list of cordons.
    pub(crate) bad_cordons: Vec<Item>,
    /// Whether the store answers writes of the handover record. Otherwise they are added to `calls`.
    pub(crate) answers_records: bool,
    /// Writes of the handover record that the store has answered.
    pub(crate) records: Vec<Call>,
    /// Whether the store answers reads of submissions, and has no new ones. Otherwise they are added to
    /// `calls`.
    pub(crate) answers_intake: bool,
    /// Reads of the inventory of VMs that were not answered.
    pub(crate) inventory_reads: usize,
    /// Addresses of the agents that were told who plans.
    pub(crate) announced: Vec<String>,
    /// Difference between the planner's wall clock and its steady clock, in ms.
    pub(crate) skew: i64,
}

impl Fixture {
    /// Returns a planner that has read the given records from the store. If there is no job of an
    /// earlier term among them, the handover record of that term is empty.
    pub(crate) fn new(mut items: Vec<Item>) -> Self {
        let is_job = |item: &Item| matches!(keys::parse(&item.key), keys::Key::Job(_));
        if !items.iter().any(is_job) {
            let fleet = items.iter().find(|item| item.key == keys::FLEET);
            let fleet = fleet.and_then(|item| Fleet::decode(item.value.clone()?).ok());
            items.push(no_starts(fleet.unwrap_or_default().terms));
        }
        let mut fixture = Fixture::reading();
        let page = Reply::Items { items, has_more: false, revision: 40 };
        fixture.reply(page);
        fixture.reply(Reply::Committed(60));
        fixture
    }

    /// Returns a planner with these options that has read the given records from the store.
    pub(crate) fn with_options(options: Options, items: Vec<Item>) -> Self {
        let mut fixture = Fixture::begin_term(options, TERM, START, 0, Some(Vec::new()));
        fixture.reply(Reply::Items { items, has_more: false, revision: 40 });
        fixture.reply(Reply::Committed(60));
        fixture
    }

    /// Returns a planner that has requested the first page of records from the store.
    pub(crate) fn reading() -> Self {
        Fixture::begin(Some(Vec::new()))
    }

    /// The same, but the store does not answer requests for the list of cordons.
    pub(crate) fn reading_without_cordons() -> Self {
        Fixture::begin(None)
    }

    fn begin(cordoned: Option<Vec<&'static str>>) -> Self {
        Fixture::begin_term(options(), TERM, START, 0, cordoned)
    }

    /// Returns the planner of a term that begins at `now` and has requested the first page of records
    /// from the store. Its wall clock is ahead by `skew` ms. The store answers no writes of the
    /// handover record.
    pub(crate) fn term(term: u64, now: u64, skew: i64) -> Self {
        Fixture::term_with(options(), term, now, skew)
    }

    /// The same with these options.
    pub(crate) fn term_with(options: Options, term: u64, now: u64, skew: i64) -> Self {
        let fixture = Fixture::begin_term(options, term, now, skew, Some(Vec::new()));
        Fixture { answers_records: false, answers_intake: false, ..fixture }
    }

    /// Returns a planner that learns speeds and has read the given records from the store.
    pub(crate) fn with_speeds(items: Vec<Item>) -> Self {
        let speeds = speed::Options { unequal_from: Some(1.25) };
        Fixture::with_options(Options { speeds, ..options() }, items)
    }

    fn begin_term(
        options: Options,
        term: u64,
        now: u64,
        skew: i64,
        cordoned: Option<Vec<&'static str>>,
    ) -> Self {
        let queue = Queue {
            name: "q".to_owned(),
            service: "desk".to_owned(),
            max_attempts: 2,
            slack: 3.0,
            priority: 1,
            ..Queue::default()
        };
        let catalog = Catalog::new(Parts { queues: vec![queue], ..Parts::default() });
        let moment = Moment { steady: ms(now), unix: ms(now.saturating_add_signed(skew)) };
        let mut fixture = Fixture {
            planner: Planner::new(options, term, Arc::new(catalog), moment),
            now,
            orders: Vec::new(),
            feeds: Vec::new(),
            calls: Vec::new(),
            is_deposed: false,
            log: Vec::new(),
            sequence: BTreeMap::new(),
            tokens: BTreeMap::new(),
            requester: 0,
            generations: BTreeMap::new(),
            cordoned,
            unread_cordons: 0,
            bad_cordons: Vec::new(),
            answers_records: true,
            records: Vec::new(),
            answers_intake: true,
            inventory_reads: 0,
            announced: Vec::new(),
            skew,
        };
        fixture.handle(Event::Tick);
        fixture
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let unix = ms(self.now.saturating_add_signed(self.skew));
        let moment = Moment { steady: ms(self.now), unix };
        let (mut is_read, mut recorded, mut is_intake) = (false, None, false);
        for effect in self.planner.handle(moment, event) {
            match effect {
                Effect::Orders(requester, orders) => self.orders.push((requester, *orders)),
                Effect::Feed(_, feed) => self.feeds.push(*feed),
                Effect::Store(Operation::Cordons, _) => is_read = true,
                Effect::Store(Operation::CordonWatch, _) => {}
                Effect::Store(Operation::Unanswered(write), call) if self.answers_records => {
                    self.records.push(call);
                    recorded = Some(write);
                }
                Effect::Store(Operation::Intake, _) if self.answers_intake => is_intake = true,
                Effect::Store(operation, call) => self.calls.push((operation, call)),
                Effect::Inventory(_) => self.inventory_reads += 1,
                Effect::Announce(addresses) => self.announced.extend(addresses),
                Effect::Deposed => self.is_deposed = true,
                Effect::Log(text) => self.log.push(text),
                _ => {}
            }
        }
        if is_read {
            match self.cordoned.clone() {
                Some(zones) => self.cordon_page(&zones, false),
                None => self.unread_cordons += 1,
            }
        }
        if is_intake {
            let reply = Reply::Changes { items: Vec::new(), revision: 40 };
            self.handle(Event::Store(Operation::Intake, reply));
        }
        if let Some(write) = recorded {
            self.handle(Event::Store(Operation::Unanswered(write), Reply::Committed(70)));
        }
    }

    /// Answers a request for the list of cordons with a page of these zones.
    pub(crate) fn cordon_page(&mut self, zones: &[&'static str], has_more: bool) {
        let cordon = |zone: &&str| item(format!("{CORDONS}{zone}"), b"{}".to_vec());
        let items = zones.iter().map(cordon).chain(self.bad_cordons.clone()).collect();
        let page = Reply::Items { items, has_more, revision: 45 };
        self.handle(Event::Store(Operation::Cordons, page));
    }

    /// Answers a request for the list of cordons that was not answered, and later ones.
    pub(crate) fn list_cordons(&mut self, zones: &[&'static str]) {
        self.cordoned = Some(zones.to_vec());
        self.cordon_page(zones, false);
    }

    /// Cordons exactly these zones; the watch reports that there is a change.
    pub(crate) fn cordon(&mut self, zones: &[&'static str]) {
        self.cordoned = Some(zones.to_vec());
        let items = vec![item(format!("{CORDONS}changed"), b"{}".to_vec())];
        let changes = Reply::Changes { items, revision: 46 };
        self.handle(Event::Store(Operation::CordonWatch, changes));
    }

    /// Sends a poll for the feed of an entry that last had an answer of the store `store_age` ms
    /// ago.
    pub(crate) fn feed(&mut self, entry: &str, store_age: u64) {
        self.requester += 1;
        let poll = FeedPoll {
            entry: entry.to_owned(),
            address: format!("{entry}:1"),
            store_age_ms: store_age,
            ..FeedPoll::default()
        };
        self.handle(Event::Feed(self.requester, poll));
    }

    pub(crate) fn advance(&mut self, time: u64) {
        for _ in 0..time / 50 {
            self.now += 50;
            self.handle(Event::Tick);
        }
    }

    /// Replies to the latest call to the store.
    pub(crate) fn reply(&mut self, reply: Reply) {
        let (operation, _) = self.calls.pop().expect("a call was made");
        self.handle(Event::Store(operation, reply));
    }

    pub(crate) fn poll(&mut self, name: &str, running: Vec<Running>, ended: Vec<Ended>) {
        self.report(name, Poll { running, ended, ..Poll::default() });
    }

    /// Sends a poll of an agent; its identity and its minion are filled in. Its list is a new one.
    pub(crate) fn report(&mut self, name: &str, report: Poll) {
        let lists = self.sequence.get(name).map_or(1, |sequence| sequence + 1);
        self.report_list(name, lists, report);
    }

    /// The same with the list of this number.
    pub(crate) fn report_list(&mut self, name: &str, lists: u64, report: Poll) {
        let sequence = self.sequence.entry(name.to_owned()).or_default();
        *sequence += 1;
        let poll = Poll {
            agent: name.to_owned(),
            address: format!("{name}:1"),
            generation: self.generations.get(name).copied().unwrap_or(1),
            sequence: *sequence,
            lists,
            incarnation: report.incarnation.clone().or_else(|| Some(minion(name))),
            fenced_token: self.tokens.get(name).copied().unwrap_or(0),
            ..report
        };
        self.requester += 1;
        let requester = self.requester;
        self.handle(Event::Poll(requester, Box::new(poll)));
        let mine = self.orders.iter().filter(|(other, _)| *other == requester);
        if let Some(token) = mine.map(|(_, orders)| orders.token).next_back() {
            self.tokens.insert(name.to_owned(), token);
        }
    }

    /// Sends a poll of an agent that has no minion; its identity is filled in.
    pub(crate) fn report_without_minion(&mut self, name: &str, report: Poll) {
        let sequence = self.sequence.entry(name.to_owned()).or_default();
        *sequence += 1;
        let poll = Poll {
            agent: name.to_owned(),
            address: format!("{name}:1"),
            generation: 1,
            sequence: *sequence,
            ..report
        };
        self.requester += 1;
        self.handle(Event::Poll(self.requester, Box::new(poll)));
    }

    /// Restarts an agent; its minion goes on running.
    pub(crate) fn restart_agent(&mut self, name: &str) {
        *self.generations.entry(name.to_owned()).or_insert(1) += 1;
        self.tokens.remove(name);
    }

    /// Lets a worker join; its minion lists the given runs and ends.
    pub(crate) fn join(&mut self, name: &str, running: Vec<Running>, ended: Vec<Ended>) {
        self.poll(name, Vec::new(), Vec::new());
        self.poll(name, running, ended);
        while let Some(at) =
            self.calls.iter().position(|(operation, _)| *operation == Operation::Fleet)
        {
            let (operation, _) = self.calls.remove(at);
            self.handle(Event::Store(operation, Reply::Committed(61)));
        }
    }

    /// Returns the runs that were ordered. An order is repeated until its agent has received it.
    pub(crate) fn starts(&self) -> Vec<Run> {
        let orders = self.orders.iter().flat_map(|(_, orders)| &orders.starts);
        let mut runs: Vec<Run> = Vec::new();
        for run in orders.filter_map(|start| start.run.clone()) {
            if !runs.contains(&run) {
                runs.push(run);
            }
        }
        runs
    }

    /// Returns the worker on which a task of a job is placed; empty if there is none.
    pub(crate) fn worker_of(&self, id: &str) -> String {
        let worker = self
            .planner
            .workers()
            .iter()
            .find(|(_, worker)| worker.runs.keys().any(|task| task.job == id));
        worker.map_or(String::new(), |(name, _)| name.clone())
    }

    pub(crate) fn stops(&self) -> Vec<Run> {
        self.orders.iter().flat_map(|(_, orders)| orders.stops.clone()).collect()
    }
}

pub(crate) fn item(key: String, value: Vec<u8>) -> Item {
    Item { key, value: Some(Bytes::from(value)), revision: 30 }
}

/// Returns the handover record of a term that has left no starts.
pub(crate) fn no_starts(term: u32) -> Item {
    let record = UnansweredStarts { term, ..UnansweredStarts::default() };
    item(keys::UNANSWERED.to_owned(), record.encode_to_vec())
}

/// Adds what a planner has written to the records of the store, as if all of it had been carried out.
pub(crate) fn merge(items: &mut Vec<Item>, fixture: &Fixture) {
    let calls = fixture.calls.iter().map(|(_, call)| call).chain(&fixture.records);
    for call in calls {
        let Call::Commit { puts, .. } = call else { continue };
        for put in puts {
            items.retain(|item| item.key != put.key);
            let value = Some(put.value.clone());
            items.push(Item { key: put.key.clone(), value, revision: 60 });
        }
    }
}

/// Returns the handover record that a call writes.
pub(crate) fn record_of(call: &Call) -> Vec<u8> {
    let Call::Commit { puts, .. } = call else { panic!("the record is committed") };
    let put = puts.iter().find(|put| put.key == keys::UNANSWERED);
    put.expect("the call writes the record").value.to_vec()
}

pub(crate) fn fleet(terms: u32, members: &[&str]) -> Item {
    let member = |name: &&str| Member {
        name: (*name).to_owned(),
        address: format!("{name}:1"),
        minion: minion(name).id,
        ..Member::default()
    };
    let members = members.iter().map(member).collect();
    let fleet = Fleet { terms, members, ..Fleet::default() };
    item(keys::FLEET.to_owned(), fleet.encode_to_vec())
}

pub(crate) fn ended(number: u64, run: Run, ending: Ending) -> Ended {
    Ended { number, run: Some(run), ending: ending.into(), checkpoint: String::new() }
}
