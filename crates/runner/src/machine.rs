//! State of the agent, and the dispatch of its events.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{
    AbsenceCause, Ended, Incarnation, LateCall, Lead, RejectedMinion, Running, Verdict, task::Task,
};

use crate::{
    absence::Absence,
    candidates::Candidates,
    effect::Effect,
    event::{Event, Ticket},
    lease::Watch,
    minion::{Call, Heartbeat},
    options::{self, Options},
    order::Order,
    refusals::Refusals,
    unanswered,
};

/// The current incarnation of the minion beside the agent.
#[derive(Clone, Debug)]
pub(crate) struct Minion {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: String,
    /// Sequence of the latest heartbeat.
    pub(crate) sequence: u64,
    /// The minion's clock, and when it was read.
    pub(crate) clock: Option<(Duration, Duration)>,
    /// Tasks that are running by the latest list.
    pub(crate) running: BTreeMap<Task, Running>,
    /// Tasks that were started after the latest list was made, with the time of the answer.
    pub(crate) started: BTreeMap<Task, (Running, Duration)>,
    /// Ends that the minion still lists, by number.
    pub(crate) ended: BTreeMap<u64, Ended>,
    /// When the agent first had contact with this incarnation.
    pub(crate) first_contact: Duration,
    /// It has answered a call that names it.
    pub(crate) has_answered: bool,
    /// When the minion last answered a call.
    pub(crate) last_answer: Duration,
    /// When its latest heartbeat arrived.
    pub(crate) last_heartbeat: Duration,
    /// What shows that it refuses connections, until it answers again.
    pub(crate) absence: Option<Absence>,
    /// Its deregistration, after it had reported that it drains.
    pub(crate) departure: Option<Absence>,
    /// When the long poll that brought the latest list was sent.
    pub(crate) list_requested_at: Duration,
    /// When the latest list arrived.
    pub(crate) list_received_at: Duration,
    /// Number of lists received from this incarnation.
    pub(crate) lists: u64,
    /// Number of rows of the latest list that can't be read, and when it last grew.
    pub(crate) unreadable: (usize, Duration),
    /// Whether rows are missing from the latest list, so that absence from it shows nothing.
    pub(crate) is_list_partial: bool,
    /// Highest token that this incarnation has acknowledged to this process.
    pub(crate) fenced_token: u64,
    /// Highest number up to which ends were acknowledged to this incarnation, which no longer lists
    /// them.
    pub(crate) acknowledged: u64,
    /// Whether this incarnation has answered a call with a token above those of the sessions before
    /// it, so that it refuses their orders.
    pub(crate) is_fenced: bool,
    /// When it first answered such a call, or its first contact until then. Calls with a deadline by the
    /// clock of the incarnation before may have prolonged its lease until then.
    pub(crate) fenced_at: Duration,
    /// First ticket of the calls that are meant for this incarnation.
    pub(crate) first_ticket: Ticket,
    /// Nothing was running on the worker before its first contact.
    pub(crate) follows_none: bool,
}

impl Minion {
    /// Returns whether an answer of its own has shown which incarnation it is, beside its heartbeats.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_fenced || self.lists > 0 || self.fenced_token > 0
    }

    /// Returns what shows that it is absent, if so.
    pub(crate) fn shown_absence(&self) -> Option<&Absence> {
        self.absence.as_ref().filter(|absence| absence.is_shown()).or(self.departure.as_ref())
    }

    /// Returns all that shows that it is absent, to be changed.
    pub(crate) fn absences(&mut self) -> impl Iterator<Item = &mut Absence> {
        let absence = self.absence.as_mut().filter(|absence| absence.is_shown());
        absence.into_iter().chain(self.departure.as_mut())
    }
}

/// A long poll in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LongPoll {
    pub(crate) ticket: Ticket,
    pub(crate) sent_at: Duration,
    pub(crate) token: u64,
    /// Number up to which it acknowledges ends; 0 if it acknowledges none.
    pub(crate) acknowledged: u64,
}

/// State of the probes that find out whether anything listens at the minion's configured address.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Probe {
    /// Ticket of the probe in flight.
    pub(crate) ticket: Option<Ticket>,
    /// When the next probe is due.
    pub(crate) next: Duration,
}

/// State of the inquiries whether the minion goes on while another incarnation sends heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inquiry {
    /// Ticket of the inquiry in flight.
    pub(crate) ticket: Option<Ticket>,
    /// When the next one is due.
    pub(crate) next: Duration,
    /// Inquiries in a row without an answer.
    pub(crate) unanswered: u32,
}

/// The session that the planner has granted to the current incarnation of the minion.
#[derive(Clone, Debug, Default)]
pub(crate) struct Session {
    pub(crate) term: u64,
    /// Fencing token of the session; 0 while there is no session.
    pub(crate) token: u64,
    /// Highest token of any session so far, including those that are over.
    pub(crate) highest_token: u64,
    /// Highest token that was granted while no minion was known.
    pub(crate) offered_token: u64,
    /// Number up to which the planner has acknowledged ends.
    pub(crate) acknowledged: u64,
    /// End of the lease, up to which the minion may run tasks.
    pub(crate) lease_until: Duration,
    /// Time until which starts may be sent to the minion.
    pub(crate) starts_until: Duration,
    /// Whether the zone is cordoned, so that no start is sent at all.
    pub(crate) is_cordoned: bool,
    /// Sequence of the latest poll whose answer has arrived.
    pub(crate) latest_answer: u64,
}

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPoll {
    pub(crate) ticket: Ticket,
    pub(crate) sequence: u64,
    pub(crate) sent_at: Duration,
}

/// The agent's state machine.
pub struct Machine {
    pub(crate) options: Options,
    pub(crate) minion: Option<Minion>,
    /// Other incarnations that have sent heartbeats.
    pub(crate) candidates: Candidates,
    pub(crate) inquiry: Inquiry,
    /// Heartbeats of incarnations that are not the worker's minion.
    foreign_heartbeats: u64,
    /// Whether the minion that was known, or any that an earlier process knew, runs nothing any more.
    pub(crate) is_minion_gone: bool,
    /// What shows that there is no minion, while none is known.
    pub(crate) absence: Option<Absence>,
    pub(crate) probe: Probe,
    pub(crate) session: Session,
    pub(crate) lease_watch: Watch,
    /// The entry that plans, if it is known.
    pub(crate) leader: Option<Lead>,
    /// Addresses of entries to ask for the leader.
    pub(crate) entries: Vec<String>,
    /// Position of the next entry to ask.
    pub(crate) next_entry: usize,
    pub(crate) next_leader_query: Duration,
    /// Polls in a row that failed.
    pub(crate) failed_polls: u32,
    /// Orders that are not resolved, by task.
    pub(crate) orders: BTreeMap<Task, Order>,
    pub(crate) refusals: Refusals,
    /// Starts that may still be carried out, including those of earlier sessions.
    pub(crate) unanswered: unanswered::Starts,
    /// First start that an incarnation of the minion has carried out although it was meant for an
    /// earlier one.
    pub(crate) late_call: Option<LateCall>,
    /// Verdicts, each with the sequence of the first poll that reported it.
    pub(crate) verdicts: Vec<(Verdict, Option<u64>)>,
    pub(crate) polls: Vec<PendingPoll>,
    pub(crate) last_poll: Duration,
    /// Sequence of the latest poll.
    pub(crate) sequence: u64,
    /// Whether there are changes that the planner should learn of.
    pub(crate) has_changes: bool,
    /// The long poll in flight that may wait for a run to end.
    pub(crate) waiting_long_poll: Option<LongPoll>,
    /// The long poll in flight that the minion answers without waiting.
    pub(crate) immediate_long_poll: Option<LongPoll>,
    /// Ticket of the call in flight that has a new incarnation refuse orders of earlier sessions
    /// before it has a session of its own.
    pub(crate) fencing_call: Option<Ticket>,
    /// Whether a list is to be requested at once.
    pub(crate) wants_list: bool,
    pub(crate) next_long_poll: Duration,
    /// Long polls in a row without an answer.
    pub(crate) unanswered_long_polls: u32,
    /// Number of rows that can't be read, as it was last logged, and when that was.
    pub(crate) logged_unreadable: (usize, Duration),
    /// When the process was asked to terminate.
    pub(crate) terminating_since: Option<Duration>,
    /// Time of the first event.
    started_at: Option<Duration>,
    /// Time of the latest event.
    last_event: Duration,
    /// When the process last resumed after it had been paused.
    pub(crate) resumed_at: Duration,
    last_ticket: Ticket,
    /// Effects of the event that is being handled.
    pub(crate) effects: Vec<Effect>,
}

/// Longest time between the request to terminate and the exit, while orders are being resolved.
/// Short, since the next process of the agent takes care of the minion, whose lease goes on
/// meanwhile.
const TERMINATION_GRACE: Duration = Duration::from_millis(600);

impl Machine {
    /// Creates an agent that knows of no minion and no leader.
    pub fn new(options: Options) -> Self {
        let entries = options.entries.clone();
        Machine {
            options,
            minion: None,
            candidates: Candidates::default(),
            inquiry: Inquiry::default(),
            foreign_heartbeats: 0,
            is_minion_gone: false,
            absence: None,
            probe: Probe::default(),
            session: Session::default(),
            lease_watch: Watch::default(),
            leader: None,
            entries,
            next_entry: 0,
            next_leader_query: Duration::ZERO,
            failed_polls: 0,
            orders: BTreeMap::new(),
            refusals: Refusals::default(),
            unanswered: unanswered::Starts::default(),
            late_call: None,
            verdicts: Vec::new(),
            polls: Vec::new(),
            last_poll: Duration::ZERO,
            sequence: 0,
            has_changes: false,
            waiting_long_poll: None,
            immediate_long_poll: None,
            fencing_call: None,
            wants_list: false,
            next_long_poll: Duration::ZERO,
            unanswered_long_polls: 0,
            logged_unreadable: (0, Duration::ZERO),
            terminating_since: None,
            started_at: None,
            last_event: Duration::ZERO,
            resumed_at: Duration::ZERO,
            last_ticket: 0,
            effects: Vec::new(),
        }
    }

    /// Handles an event at the monotonic time `now`; returns the effects to carry out.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.detect_pause(now);
        match event {
            Event::Heartbeat(heartbeat) => self.heartbeat_received(now, *heartbeat),
            Event::Deregistered(id) => self.deregistered(now, &id),
            Event::MinionReply(ticket, reply) => self.minion_replied(now, ticket, reply),
            Event::Orders(ticket, orders) => self.orders_received(now, ticket, *orders),
            Event::PollFailed { ticket, is_declined } => self.poll_failed(now, ticket, is_declined),
            Event::Leader(leader) => self.follow_leader(leader),
            Event::Announced(leader) => self.announced(now, leader),
            Event::Terminate => self.terminate(now),
            Event::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Detects that this process was paused since the latest event.
    fn detect_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_event);
        if !self.last_event.is_zero() && pause >= options::PAUSE_THRESHOLD {
            self.log(format!(
                "process was paused for {} ms; requests a list before it sends orders",
                pause.as_millis()
            ));
            self.resumed_at = now;
            self.wants_list = true;
        }
        self.last_event = now;
        self.started_at.get_or_insert(now);
    }

    /// Makes the calls that are due, and exits once the process may terminate.
    fn advance(&mut self, now: Duration) {
        self.update_silence(now);
        self.watch_lease(now);
        self.end_absence(now);
        self.adopt_candidate(now);
        self.drive_probe(now);
        self.drive_orders(now);
        self.drive_inquiry(now);
        self.drive_long_polls(now);
        self.drive_polls(now);
        self.drive_leader_queries(now);
        if let Some(since) = self.terminating_since
            && (self.orders.is_empty() || now >= since + TERMINATION_GRACE)
            && now >= since + options::POLL_DELAY * 4
        {
            self.log("exits on request; orders are resolved or left to the planner".to_owned());
            self.effects.push(Effect::Exit);
        }
    }

    pub(crate) fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    pub(crate) fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Calls the minion; none if no minion is known.
    pub(crate) fn call_minion(&mut self, call: Call, timeout: Duration) -> Option<Ticket> {
        let ticket = self.next_ticket();
        let minion = self.minion.as_ref()?;
        let address = minion.address.clone();
        let minion_id = minion.incarnation.id.clone();
        self.effects.push(Effect::CallMinion { ticket, address, minion_id, call, timeout });
        Some(ticket)
    }

    /// Handles a heartbeat. Only those of the known incarnation change what is known of the minion; its
    /// service and address stay the same.
    ///
    /// Guards against a task that runs twice: a heartbeat may be late or that of another writer, and shows
    /// neither which minion is the worker's nor that an earlier one has ended.
    fn heartbeat_received(&mut self, now: Duration, heartbeat: Heartbeat) {
        let Some(minion) = &mut self.minion else {
            self.candidate_heard(now, heartbeat);
            return;
        };
        let known = &minion.incarnation;
        let is_same = known.id == heartbeat.incarnation.id
            && known.born_ms == heartbeat.incarnation.born_ms
            && known.service == heartbeat.incarnation.service;
        if !is_same {
            self.candidate_heard(now, heartbeat);
            return;
        }
        if minion.address != heartbeat.address {
            self.foreign_heartbeats += 1;
            return;
        }
        if heartbeat.sequence <= minion.sequence {
            return;
        }
        let is_silent = known.is_silent;
        let incarnation = Incarnation { is_silent, ..heartbeat.incarnation };
        self.has_changes |= minion.incarnation.is_draining != incarnation.is_draining
            || minion.incarnation.capacity != incarnation.capacity;
        minion.last_heartbeat = now;
        // It goes on after all, or its deregistration was that of an earlier incarnation.
        self.has_changes |= minion.departure.take().is_some();
        if let Some(absence) = &mut minion.absence {
            absence.heartbeat_received(now);
        }
        minion.incarnation = incarnation;
        minion.sequence = heartbeat.sequence;
    }

    /// Handles a heartbeat of an incarnation that is not the known minion. That one is asked whether it
    /// goes on.
    fn candidate_heard(&mut self, now: Duration, heartbeat: Heartbeat) {
        let Heartbeat { incarnation: Incarnation { id, born_ms, service, .. }, address, .. } =
            &heartbeat;
        let text = format!("minion={id} born_ms={born_ms} service={service} address={address}");
        let next = self.last_ticket + 1;
        let is_new = self.candidates.add(now, heartbeat, next);
        let Some(minion) = &self.minion else { return };
        self.foreign_heartbeats += u64::from(!is_new);
        if is_new {
            let known = minion.incarnation.id.clone();
            self.log(format!("{text} heartbeat beside minion={known}, which is asked for a list"));
            self.inquiry.next = now;
        }
    }

    /// Takes the likeliest candidate for the worker's minion if none is known.
    fn adopt_candidate(&mut self, now: Duration) {
        if self.minion.is_some() {
            return;
        }
        let Some(heartbeat) = self.candidates.take(now) else { return };
        let Heartbeat { incarnation, address, sequence } = heartbeat;
        let Incarnation { id, born_ms, service, .. } = &incarnation;
        self.log(format!(
            "minion={id} born_ms={born_ms} service={service} address={address} first heartbeat"
        ));
        self.begin_incarnation(now, incarnation, address, sequence);
    }

    /// Drops the minion if the planner has rejected it: no configuration names its service. Nothing is known
    /// of the one before.
    pub(crate) fn reject_minion(&mut self, now: Duration, rejected: &RejectedMinion) {
        let RejectedMinion { id, born_ms, service } = rejected;
        let is_it = |minion: &&Minion| {
            let known = &minion.incarnation;
            known.id == *id && known.born_ms == *born_ms && known.service == *service
        };
        let Some(minion) = self.minion.as_ref().filter(is_it) else { return };
        let follows_none = minion.follows_none;
        self.log(format!("minion={id} is not the worker's: service={service} is not configured"));
        self.foreign_heartbeats += 1;
        self.candidates.reject(now, service);
        self.withdraw_session();
        self.forget_minion();
        self.is_minion_gone = follows_none;
    }

    /// Number of heartbeats of incarnations that are not the worker's minion.
    pub fn foreign_heartbeats(&self) -> u64 {
        self.foreign_heartbeats
    }

    /// Begins with a new incarnation of the minion, of which nothing else is known yet. Orders for
    /// the previous one are dropped.
    pub(crate) fn begin_incarnation(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        address: String,
        sequence: u64,
    ) {
        self.forget_minion();
        let follows_none = std::mem::take(&mut self.is_minion_gone);
        self.absence = None;
        self.unanswered.set_minion(&incarnation.id, incarnation.born_ms);
        self.minion = Some(Minion {
            incarnation,
            address,
            sequence,
            clock: None,
            running: BTreeMap::new(),
            started: BTreeMap::new(),
            ended: BTreeMap::new(),
            first_contact: now,
            has_answered: false,
            last_answer: now,
            last_heartbeat: now,
            absence: None,
            departure: None,
            list_requested_at: Duration::ZERO,
            list_received_at: now,
            lists: 0,
            unreadable: (0, Duration::ZERO),
            is_list_partial: false,
            fenced_token: 0,
            acknowledged: 0,
            is_fenced: false,
            fenced_at: now,
            first_ticket: self.last_ticket + 1,
            follows_none,
        });
        self.wants_list = true;
        self.next_long_poll = now;
    }

    /// Forgets the minion, of which nothing is running any more, and its session.
    ///
    /// Guards against a task that runs twice: a minion of which only a heartbeat is known may have ended
    /// long ago, and says nothing about one that has started since. Only a probe of the configured
    /// address shows that there is none.
    pub(crate) fn forget_minion(&mut self) {
        self.is_minion_gone |= self.minion.as_ref().is_some_and(|minion| minion.has_answered);
        self.minion = None;
        self.drop_orders();
        self.session.token = 0;
        self.session.acknowledged = 0;
        self.waiting_long_poll = None;
        self.immediate_long_poll = None;
        self.fencing_call = None;
        self.inquiry = Inquiry::default();
        self.has_changes = true;
    }

    /// Has the session begin anew with the next heartbeat: the minion has not received its token.
    ///
    /// Guards against a minion that gets no orders until its lease is over: the planner knows of no
    /// reason to grant another session.
    pub(crate) fn withdraw_session(&mut self) {
        let Session { token, .. } = self.session;
        if token > 0 {
            self.session.highest_token = token - 1;
        }
    }

    /// Drops the orders of the session, which are invalid now. Starts in flight may still be
    /// carried out and stay recorded as unanswered.
    pub(crate) fn drop_orders(&mut self) {
        self.unanswered.abandon_all();
        self.orders.clear();
        self.verdicts.clear();
        self.refusals.clear();
    }

    /// Handles the deregistration of a minion.
    ///
    /// Guards against a live minion that is declared lost: the deregistration may be that of an
    /// earlier incarnation under the same name, delayed on its way. A minion that has not reported
    /// that it drains is asked for a list, and declared lost only if nothing listens there.
    ///
    /// Guards against a task that runs twice, and against work that is done again: a minion that has
    /// deregistered may go on for a while. Its ends still count, and its runs until their lease is over.
    fn deregistered(&mut self, now: Duration, id: &str) {
        self.candidates.remove(id);
        let Some(minion) = self.minion.as_mut().filter(|minion| minion.incarnation.id == id) else {
            return;
        };
        if minion.incarnation.is_draining {
            if minion.departure.is_some() {
                return;
            }
            let departure = Absence::new(AbsenceCause::Deregistered, now, Some(minion));
            let text = format!("minion={id} leaves: {}", departure.describe(now));
            minion.departure = Some(departure);
            let left = self.lease_end().saturating_sub(now).as_millis();
            self.log(format!("{text} limit_ms={left}"));
            self.has_changes = true;
            self.wants_list = true;
        } else {
            self.log(format!("minion={id} deregistered, but does not drain; requests a list"));
            self.wants_list = true;
        }
    }

    /// Updates whether the minion counts as silent, which is reported to the planner so that it
    /// places no more tasks there.
    fn update_silence(&mut self, now: Duration) {
        let Some(minion) = &mut self.minion else { return };
        let is_silent = now >= minion.last_answer + options::SILENCE_TIMEOUT;
        if minion.incarnation.is_silent != is_silent {
            minion.incarnation.is_silent = is_silent;
            let id = minion.incarnation.id.clone();
            self.has_changes = true;
            self.log(format!("minion={id} silent={is_silent}"));
        }
    }

    /// Forgets an absent minion once the leases that it may have are over, and reports that nothing of
    /// it is running. The planner has to have been told of the absence, so that it grants no more.
    fn end_absence(&mut self, now: Duration) {
        let lease_end = self.lease_end();
        if now < lease_end {
            return;
        }
        if let Some(minion) = &self.minion {
            if minion.incarnation.is_silent && self.candidates.is_any_open() {
                let text = format!(
                    "minion={} its lease is over; declared lost: it is silent, and \
                     another one sends heartbeats",
                    minion.incarnation.id
                );
                self.log(text);
                self.forget_minion();
                return;
            }
            let Some(absence) = minion.shown_absence() else { return };
            let is_answering = minion.absence.is_none() && !minion.incarnation.is_silent;
            if is_answering || !absence.is_reported {
                return;
            }
            let text = format!(
                "minion={} its lease is over; declared lost: {}",
                minion.incarnation.id,
                absence.describe(now)
            );
            self.absence = Some(absence.clone());
            self.log(text);
            self.forget_minion();
        } else if self.absence.as_ref().is_some_and(Absence::is_refused) && !self.is_minion_gone {
            self.log("no minion is running: all leases of earlier ones are over".to_owned());
            self.is_minion_gone = true;
            self.has_changes = true;
        }
    }

    /// Returns the time at which all leases that the minion may have are over: those that this process
    /// has passed on, and any that the process before it passed on, or that calls for the incarnation
    /// before have prolonged.
    pub(crate) fn lease_end(&self) -> Duration {
        let Options { longest_lease, .. } = self.options;
        let fenced_at = self.minion.as_ref().map_or(Duration::ZERO, |minion| minion.fenced_at);
        let earlier = self.started_at.unwrap_or_default().max(fenced_at) + longest_lease;
        let drift = longest_lease * options::CLOCK_DRIFT_MILLI / 1_000;
        self.session.lease_until.max(earlier) + drift + options::TIMING_MARGIN
    }

    fn terminate(&mut self, now: Duration) {
        if self.terminating_since.is_none() {
            self.log("asked to terminate".to_owned());
            self.terminating_since = Some(now);
            self.has_changes = true;
        }
    }

    /// Estimate of the minion's clock at `now`. It is behind rather than ahead: the reading has aged on
    /// its way to the agent, and the clock may be slow.
    ///
    /// Guards against a task that runs twice: the latest reading of a minion that answers nothing may
    /// be old, and a deadline that is too late prolongs its lease beyond what the planner reckons with.
    pub(crate) fn minion_clock(&self, now: Duration) -> Option<Duration> {
        let (clock, read_at) = self.minion.as_ref()?.clock?;
        let age = now.saturating_sub(read_at);
        Some(clock + age - age * options::CLOCK_DRIFT_MILLI / 1_000)
    }

    /// End of the lease by the minion's clock; none without a lease.
    pub(crate) fn lease_deadline(&self, now: Duration) -> Option<Duration> {
        let left = self.session.lease_until.checked_sub(now)?;
        Some(self.minion_clock(now)? + left)
    }

    /// Changes the longest time for which a task that is being stopped may go on.
    pub fn set_stop_timeout(&mut self, stop_timeout: Duration) {
        self.options.stop_timeout = stop_timeout;
    }

    /// Number of orders that are not resolved.
    pub fn open_orders(&self) -> usize {
        self.orders.len()
    }
}
