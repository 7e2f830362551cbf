//! The agent's state.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{Ended, Incarnation, Lead, Running, Verdict, task::Task};

use crate::{
    effect::Effect,
    event::{Event, Ticket},
    minion::{Beat, Call},
    options::{self, Options},
    order::Order,
    refusals::Refusals,
    unanswered,
};

/// The minion beside the agent.
#[derive(Clone, Debug)]
pub(crate) struct Minion {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: String,
    pub(crate) sequence: u64,
    /// Its clock, and when it was read.
    pub(crate) clock: Option<(Duration, Duration)>,
    pub(crate) running: BTreeMap<Task, Running>,
    /// Started after the list was made, with when.
    pub(crate) started: BTreeMap<Task, (Running, Duration)>,
    pub(crate) ended: BTreeMap<u64, Ended>,
    /// When the agent first heard of this life.
    pub(crate) met: Duration,
    /// When it last answered.
    pub(crate) answered: Duration,
    pub(crate) refusals: u32,
    /// When the hold whose list was taken last was sent.
    pub(crate) listed: Duration,
    /// When the list that was taken last arrived.
    pub(crate) listed_at: Duration,
    /// Lists taken from it.
    pub(crate) lists: u64,
    /// Highest token that it has acknowledged to this process.
    pub(crate) fenced: u64,
    /// Ends up to this number are known to be forgotten by this life.
    pub(crate) noted: u64,
    /// It refuses what was ordered in sessions before its life.
    pub(crate) is_barred: bool,
    /// First ticket of a call that was meant for this life.
    pub(crate) first_ticket: Ticket,
}

/// A hold under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) ticket: Ticket,
    pub(crate) sent: Duration,
    pub(crate) token: u64,
    /// Ends that it has noted; 0 when it tells of none.
    pub(crate) noted: u64,
}

/// Whether anything listens where the minion would.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Look {
    pub(crate) ticket: Option<Ticket>,
    pub(crate) refusals: u32,
    pub(crate) next: Duration,
}

/// A minion that has left, some of whose ends the planner may not know.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Farewell {
    since: Duration,
    /// First poll that tells of all its ends.
    pub(crate) told: Option<u64>,
}

/// Longest time for which a minion that has left is not told of as gone while its ends are.
const FAREWELL: Duration = Duration::from_millis(600);

/// What the planner has granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Session {
    pub(crate) term: u64,
    pub(crate) token: u64,
    /// Highest token of any session so far, also of one that is over.
    pub(crate) highest: u64,
    /// Highest token that was granted while no minion was known.
    pub(crate) offered: u64,
    pub(crate) noted: u64,
    /// Until when the minion may run on.
    pub(crate) lease_until: Duration,
}

/// A poll under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollSent {
    pub(crate) ticket: Ticket,
    pub(crate) sequence: u64,
    pub(crate) at: Duration,
}

/// The agent.
pub struct Machine {
    pub(crate) options: Options,
    pub(crate) minion: Option<Minion>,
    /// Whatever minion there was has ended.
    pub(crate) is_minion_gone: bool,
    pub(crate) look: Look,
    pub(crate) farewell: Option<Farewell>,
    pub(crate) session: Session,
    pub(crate) lead: Option<Lead>,
    pub(crate) entries: Vec<String>,
    pub(crate) next_entry: usize,
    pub(crate) ask_lead_at: Duration,
    pub(crate) failed_polls: u32,
    /// Orders that the minion has not settled.
    pub(crate) orders: BTreeMap<Task, Order>,
    pub(crate) refusals: Refusals,
    /// Starts that may still be carried out, also those of earlier sessions.
    pub(crate) unanswered: unanswered::Starts,
    /// Verdicts with the first poll that told of them.
    pub(crate) verdicts: Vec<(Verdict, Option<u64>)>,
    pub(crate) polls: Vec<PollSent>,
    pub(crate) last_poll: Duration,
    pub(crate) sequence: u64,
    /// The planner is to hear of something.
    pub(crate) has_news: bool,
    pub(crate) waiting_hold: Option<Hold>,
    pub(crate) quick_hold: Option<Hold>,
    /// The hold that bars what earlier sessions ordered, before there is a session.
    pub(crate) bar: Option<Ticket>,
    /// A list is wanted at once.
    pub(crate) wants_list: bool,
    pub(crate) next_hold: Duration,
    /// Holds in a row without an answer.
    pub(crate) unanswered_holds: u32,
    /// Rows of the latest lists that can't be read.
    pub(crate) unreadable: usize,
    pub(crate) is_leaving: Option<Duration>,
    /// When it was last told something.
    last: Duration,
    /// When it last woke from a pause.
    pub(crate) woke: Duration,
    last_ticket: Ticket,
    pub(crate) out: Vec<Effect>,
}

/// Longest time between the request to end and the end, while orders are being settled. Short,
/// since the agent's next life looks after the minion and its lease goes on meanwhile.
const LEAVE: Duration = Duration::from_millis(600);

impl Machine {
    /// An agent that knows of nothing.
    pub fn new(options: Options) -> Self {
        let entries = options.entries.clone();
        Machine {
            options,
            minion: None,
            is_minion_gone: false,
            look: Look::default(),
            session: Session::default(),
            lead: None,
            entries,
            next_entry: 0,
            ask_lead_at: Duration::ZERO,
            failed_polls: 0,
            orders: BTreeMap::new(),
            refusals: Refusals::default(),
            unanswered: unanswered::Starts::default(),
            verdicts: Vec::new(),
            polls: Vec::new(),
            last_poll: Duration::ZERO,
            sequence: 0,
            has_news: false,
            waiting_hold: None,
            quick_hold: None,
            bar: None,
            farewell: None,
            wants_list: false,
            next_hold: Duration::ZERO,
            unanswered_holds: 0,
            unreadable: 0,
            is_leaving: None,
            last: Duration::ZERO,
            woke: Duration::ZERO,
            last_ticket: 0,
            out: Vec::new(),
        }
    }

    /// Takes an event at a steady time; returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.note_pause(now);
        match event {
            Event::Beat(beat) => self.beat(now, *beat),
            Event::Leaves(id) => self.leaves(now, &id),
            Event::Minion(ticket, reply) => self.minion_answered(now, ticket, reply),
            Event::Orders(ticket, orders) => self.ordered(now, ticket, *orders),
            Event::NoOrders { ticket, is_declined } => self.no_orders(now, ticket, is_declined),
            Event::Lead(lead) => self.follow(lead),
            Event::Terminate => self.terminate(now),
            Event::Tick => {}
        }
        self.go_on(now);
        std::mem::take(&mut self.out)
    }

    /// Notes that this process stood still for a while, as one that is frozen does.
    fn note_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last);
        if !self.last.is_zero() && pause >= options::PAUSE {
            self.log(format!("paused for {} ms; asks for a list first", pause.as_millis()));
            self.woke = now;
            self.wants_list = true;
        }
        self.last = now;
    }

    /// Makes the calls that are due.
    fn go_on(&mut self, now: Duration) {
        if self.farewell.is_some_and(|farewell| now >= farewell.since + FAREWELL) {
            self.forget_minion();
        }
        if self.farewell.is_none() {
            self.watch_silence(now);
            self.drive_look(now);
            self.drive_orders(now);
            self.drive_holds(now);
        }
        self.drive_polls(now);
        self.drive_lead(now);
        if let Some(since) = self.is_leaving
            && (self.orders.is_empty() || now >= since + LEAVE)
            && now >= since + options::POLL_PAUSE * 4
        {
            self.log("stops: asked to end, orders settled or handed back".to_owned());
            self.out.push(Effect::Exit);
        }
    }

    pub(crate) fn log(&mut self, text: String) {
        self.out.push(Effect::Log(text));
    }

    pub(crate) fn ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    pub(crate) fn call(&mut self, call: Call, timeout: Duration) -> Option<Ticket> {
        let ticket = self.ticket();
        let minion = self.minion.as_ref()?;
        let address = minion.address.clone();
        let life = minion.incarnation.id.clone();
        self.out.push(Effect::Minion { ticket, address, life, call, timeout });
        Some(ticket)
    }

    fn beat(&mut self, now: Duration, beat: Beat) {
        if let Some(minion) = &mut self.minion {
            let known = &minion.incarnation;
            let is_same =
                known.id == beat.incarnation.id && known.born_ms == beat.incarnation.born_ms;
            let is_older = !is_same && beat.incarnation.born_ms < known.born_ms;
            if is_older || (is_same && beat.sequence <= minion.sequence) {
                // Late: of an earlier life, or overtaken by a newer one.
                return;
            }
            if is_same {
                let is_silent = known.is_silent;
                let incarnation = Incarnation { is_silent, ..beat.incarnation };
                self.has_news |= minion.incarnation.is_draining != incarnation.is_draining
                    || minion.incarnation.capacity != incarnation.capacity;
                minion.incarnation = incarnation;
                minion.sequence = beat.sequence;
                minion.address = beat.address;
                return;
            }
        }
        self.meet(now, beat);
    }

    /// A new life of the minion. Whatever was ordered of the one before is over.
    fn meet(&mut self, now: Duration, beat: Beat) {
        let Incarnation { id, born_ms, .. } = &beat.incarnation;
        self.log(format!("minion={id} born_ms={born_ms} address={} met", beat.address));
        let Beat { incarnation, address, sequence } = beat;
        self.begin_life(now, incarnation, address, sequence);
    }

    /// Begins with a life of the minion of which nothing is known yet.
    pub(crate) fn begin_life(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        address: String,
        sequence: u64,
    ) {
        self.forget_minion();
        self.is_minion_gone = false;
        self.unanswered.meet(&incarnation.id);
        self.minion = Some(Minion {
            incarnation,
            address,
            sequence,
            clock: None,
            running: BTreeMap::new(),
            started: BTreeMap::new(),
            ended: BTreeMap::new(),
            met: now,
            answered: now,
            refusals: 0,
            listed: Duration::ZERO,
            listed_at: now,
            lists: 0,
            fenced: 0,
            noted: 0,
            is_barred: false,
            first_ticket: self.last_ticket + 1,
        });
        self.wants_list = true;
        self.next_hold = now;
    }

    pub(crate) fn forget_minion(&mut self) {
        self.is_minion_gone |= self.minion.is_some();
        self.minion = None;
        self.drop_orders();
        self.session.token = 0;
        self.session.noted = 0;
        self.waiting_hold = None;
        self.quick_hold = None;
        self.bar = None;
        self.farewell = None;
        self.has_news = true;
    }

    /// Orders of the session so far are void, but starts on their way may yet be carried out.
    pub(crate) fn drop_orders(&mut self) {
        self.unanswered.give_up_all();
        self.orders.clear();
        self.verdicts.clear();
        self.refusals.clear();
    }

    /// A minion says that it ends.
    ///
    /// Guards against a living minion that is taken as gone: the word may be of an earlier life
    /// under the same name, held up on its way. One that did not say before that it drains is
    /// asked, and gone when nothing listens there.
    ///
    /// Guards against work that was done and is done again: the planner takes all that it has not
    /// heard the end of as lost with the minion, so it is told of the ends first.
    fn leaves(&mut self, now: Duration, id: &str) {
        let Some(minion) = self.minion.as_ref().filter(|minion| minion.incarnation.id == id) else {
            return;
        };
        if minion.incarnation.is_draining {
            let has_ended = !minion.ended.is_empty();
            self.log(format!("minion={id} leaves"));
            if has_ended {
                let farewell = Farewell { since: now, told: None };
                self.farewell.get_or_insert(farewell);
                self.has_news = true;
            } else {
                self.forget_minion();
            }
        } else {
            self.log(format!("minion={id} leaves, though it does not drain; asked"));
            self.wants_list = true;
        }
    }

    /// Tells the planner of a minion that doesn't answer, so that it is given nothing more.
    fn watch_silence(&mut self, now: Duration) {
        let Some(minion) = &mut self.minion else { return };
        let is_silent = now >= minion.answered + options::MINION_SILENCE;
        if minion.incarnation.is_silent != is_silent {
            minion.incarnation.is_silent = is_silent;
            let id = minion.incarnation.id.clone();
            self.has_news = true;
            self.log(format!("minion={id} silent={is_silent}"));
        }
    }

    fn terminate(&mut self, now: Duration) {
        if self.is_leaving.is_none() {
            self.log("asked to end".to_owned());
            self.is_leaving = Some(now);
            self.has_news = true;
        }
    }

    /// The minion's clock now; a little behind rather than ahead.
    pub(crate) fn minion_clock(&self, now: Duration) -> Option<Duration> {
        let (clock, read) = self.minion.as_ref()?.clock?;
        Some(clock + now.saturating_sub(read))
    }

    /// End of the lease by the minion's clock, while there is a lease.
    pub(crate) fn deadline(&self, now: Duration) -> Option<Duration> {
        let left = self.session.lease_until.checked_sub(now)?;
        Some(self.minion_clock(now)? + left)
    }

    /// Takes over a changed bound.
    pub fn set_stop(&mut self, stop: Duration) {
        self.options.stop = stop;
    }

    /// Number of orders that are not settled.
    pub fn open_orders(&self) -> usize {
        self.orders.len()
    }
}
