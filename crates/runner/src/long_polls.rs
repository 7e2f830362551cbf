//! Long polls of the minion: they renew its lease, fence orders of earlier sessions, and bring the
//! lists of running tasks and of ends. Also handles the answers to all calls to the minion.

use std::time::Duration;

use sapphire_jobs::{
    AbsenceCause, Ended, Incarnation, LISTED_ENDS, Rejection, Running, task::Task,
};

use crate::{
    absence::Absence,
    effect::Effect,
    event::Ticket,
    machine::{LongPoll, Machine, Session},
    minion::{Call, Reply},
    options,
};

impl Machine {
    /// Sends the long polls that are due: one that waits for a run to end, and one that is answered
    /// at once if a list is wanted. Without a session, fences the minion instead.
    pub(crate) fn drive_long_polls(&mut self, now: Duration) {
        if self.session.token == 0 {
            self.drive_fencing(now);
            return;
        }
        let Some(minion) = &self.minion else { return };
        let has_ends = minion.ended.keys().any(|number| *number > self.session.acknowledged);
        let is_acknowledging = minion.acknowledged < self.session.acknowledged;
        let is_recent = now < minion.list_requested_at + options::LIST_DELAY;
        self.wants_list |= !is_recent && (self.awaits_list(now) || self.awaits_last_list(now));
        if self.wants_list && self.immediate_long_poll.is_none() {
            self.wants_list = false;
            self.immediate_long_poll = self.send_long_poll(now, Duration::ZERO);
        }
        if self.waiting_long_poll.is_none() && now >= self.next_long_poll {
            let is_immediate = has_ends || is_acknowledging;
            let wait = if is_immediate { Duration::ZERO } else { self.long_poll_wait(now) };
            self.waiting_long_poll = self.send_long_poll(now, wait);
        }
    }

    /// Time for which the minion is to wait for a run to end.
    ///
    /// Guards against unanswered starts that the next incarnation of the minion carries out while a
    /// long poll still waits for an answer of the previous one.
    fn long_poll_wait(&self, now: Duration) -> Duration {
        let is_open = self.unanswered.is_open(now);
        if is_open { options::REDUCED_LONG_POLL_WAIT } else { options::LONG_POLL_WAIT }
    }

    /// Sends a new incarnation of the minion a token above those of the sessions before it.
    ///
    /// Guards against an order for the previous incarnation that this one carries out late, since
    /// it has received no token yet. While no planner can be reached, that state may last for
    /// seconds. The token of the next session is this one or a higher one.
    fn drive_fencing(&mut self, now: Duration) {
        let is_needed = self.minion.as_ref().is_some_and(|minion| !minion.is_fenced);
        let token = self.provisional_token();
        if !is_needed || token == 0 || self.fencing_call.is_some() || now < self.next_long_poll {
            return;
        }
        let call = Call::LongPoll { deadline: None, token, acknowledged: 0, wait: Duration::ZERO };
        self.fencing_call = self.call_minion(call, options::MINION_TIMEOUT);
    }

    /// A token above those of earlier sessions; 0 if none is known.
    fn provisional_token(&self) -> u64 {
        let Session { highest_token, offered_token, .. } = self.session;
        let next = if highest_token > 0 { highest_token + 1 } else { 0 };
        next.max(offered_token)
    }

    /// Asks the minion whether it goes on while another incarnation sends heartbeats. The next incarnation
    /// under its identifier may answer: the call grants no lease, and acknowledges no ends.
    pub(crate) fn drive_inquiry(&mut self, now: Duration) {
        let is_due = self.inquiry.ticket.is_none() && now >= self.inquiry.next;
        if self.minion.is_none() || !is_due || !self.candidates.is_any_open() {
            return;
        }
        let session = self.session.token;
        let token = if session > 0 { session } else { self.provisional_token() };
        let call = Call::LongPoll { deadline: None, token, acknowledged: 0, wait: Duration::ZERO };
        self.inquiry.ticket = self.call_minion(call, options::MINION_TIMEOUT);
    }

    fn inquiry_answered(&mut self, now: Duration, reply: &Reply) {
        let is_answered = !matches!(reply, Reply::Unknown | Reply::NotListening);
        self.inquiry.unanswered = if is_answered { 0 } else { self.inquiry.unanswered + 1 };
        let delay = options::retry_delay(self.inquiry.unanswered);
        self.inquiry.ticket = None;
        self.inquiry.next = now + options::LIST_DELAY.max(delay);
        if let Reply::Listed { born_ms, .. } = reply
            && self.is_other_incarnation(*born_ms)
        {
            self.restarted(now, *born_ms);
        }
    }

    fn fencing_answered(&mut self, now: Duration, reply: &Reply) {
        self.fencing_call = None;
        self.next_long_poll = now + options::LIST_DELAY;
        match reply {
            Reply::Listed { born_ms, .. } if self.is_other_incarnation(*born_ms) => {
                self.restarted(now, *born_ms);
            }
            Reply::Listed { clock, running, ended, .. } => {
                let counts = format!("running={} ended={}", running.len(), ended.len());
                self.mark_fenced(now, &counts);
                // The call was sent after the first contact.
                let requested_at = self.minion.as_ref().map(|minion| minion.first_contact);
                self.find_late_call(requested_at.unwrap_or_default(), *clock, running, ended);
            }
            // An unhealthy minion that refuses a call has done nothing, so it has no token yet.
            Reply::Refused(Rejection::Fenced) => self.mark_fenced(now, "refused=Fenced"),
            _ => {}
        }
    }

    /// Marks the minion as fenced, after it has sent a list or refused the token as too low.
    fn mark_fenced(&mut self, now: Duration, outcome: &str) {
        let token = self.provisional_token();
        let Some(minion) = &mut self.minion else { return };
        minion.is_fenced = true;
        minion.fenced_at = minion.fenced_at.max(now);
        let (id, born_ms) = (&minion.incarnation.id, minion.incarnation.born_ms);
        let after = now.saturating_sub(minion.first_contact).as_millis();
        let text = format!(
            "minion={id} born_ms={born_ms} answers first token={token} after {after} ms: {outcome}"
        );
        self.log(text);
    }

    /// Sends a long poll. It acknowledges ends unless this incarnation has received the
    /// acknowledgement already.
    ///
    /// Guards against the next incarnation of the minion, which may answer instead and forget its
    /// own ends under these numbers. So a long poll that waits is sent only when there is nothing
    /// to acknowledge, and one that acknowledges ends only right after a list of this incarnation.
    /// An agent that has been paused requests a list first.
    fn send_long_poll(&mut self, now: Duration, wait: Duration) -> Option<LongPoll> {
        let token = self.session.token;
        let minion = self.minion.as_ref()?;
        let is_acknowledging = minion.acknowledged < self.session.acknowledged;
        let is_recent = minion.lists > 0
            && minion.list_requested_at >= self.resumed_at
            && now < minion.list_received_at + options::ACKNOWLEDGE_WINDOW;
        let acknowledged =
            if is_acknowledging && is_recent { self.session.acknowledged } else { 0 };
        let call = Call::LongPoll { deadline: self.lease_deadline(now), token, acknowledged, wait };
        let ticket = self.call_minion(call, wait + options::MINION_TIMEOUT)?;
        Some(LongPoll { ticket, sent_at: now, token, acknowledged })
    }

    /// Probes whether a minion is running while no heartbeat of one has arrived.
    ///
    /// Guards against a planner that knows nothing of a minion that ended while this agent was down.
    /// Where nothing listens, a minion may run tasks until the leases are over that the agent's earlier
    /// process has passed on.
    pub(crate) fn drive_probe(&mut self, now: Duration) {
        let is_known = self.minion.is_some() || self.is_minion_gone;
        if is_known || self.options.minion_address.is_empty() || self.probe.ticket.is_some() {
            return;
        }
        if now < self.probe.next {
            return;
        }
        let token = self.session.offered_token;
        let call = Call::LongPoll { deadline: None, token, acknowledged: 0, wait: Duration::ZERO };
        let ticket = self.next_ticket();
        self.probe.ticket = Some(ticket);
        let (address, minion_id) = (self.options.minion_address.clone(), String::new());
        let timeout = options::MINION_TIMEOUT;
        self.effects.push(Effect::CallMinion { ticket, address, minion_id, call, timeout });
    }

    fn probe_answered(&mut self, now: Duration, reply: &Reply) {
        self.probe.ticket = None;
        if *reply != Reply::NotListening {
            self.absence = None;
            self.probe.next = now + options::LONG_PROBE_DELAY;
            return;
        }
        let was_shown = self.absence.as_ref().is_some_and(Absence::is_shown);
        let delay = if was_shown { options::LONG_PROBE_DELAY } else { options::PROBE_DELAY };
        self.probe.next = now + delay;
        if self.minion.is_some() {
            return;
        }
        match &mut self.absence {
            Some(absence) => absence.repeat(),
            None => self.absence = Some(Absence::new(AbsenceCause::NotListening, now, None)),
        }
        let shown = self.absence.as_ref().filter(|absence| absence.is_shown() && !was_shown);
        if let Some(absence) = shown {
            let text = format!("no minion answers: {}", absence.describe(now));
            self.log(text);
            self.has_changes = true;
        }
    }

    /// Handles the outcome of any call to the minion.
    pub(crate) fn minion_replied(&mut self, now: Duration, ticket: Ticket, reply: Reply) {
        if self.probe.ticket == Some(ticket) {
            self.probe_answered(now, &reply);
            return;
        }
        match reply {
            Reply::Unknown => self.unanswered.abandon(ticket),
            _ => self.unanswered.answered(ticket),
        }
        // An answer to a call that was meant for an earlier incarnation says nothing about this
        // one.
        if self.minion.as_ref().is_some_and(|minion| ticket < minion.first_ticket) {
            return;
        }
        self.update_presence(now, ticket, &reply);
        if self.inquiry.ticket == Some(ticket) {
            self.inquiry_answered(now, &reply);
            return;
        }
        if self.fencing_call == Some(ticket) {
            self.fencing_answered(now, &reply);
            return;
        }
        let long_poll = [&mut self.waiting_long_poll, &mut self.immediate_long_poll]
            .into_iter()
            .find_map(|pending| pending.take_if(|long_poll| long_poll.ticket == ticket));
        match long_poll {
            Some(long_poll) => self.long_poll_answered(now, long_poll, reply),
            None => self.order_answered(now, ticket, reply),
        }
    }

    /// Notes that the minion has answered or refuses connections, or declares it lost when another
    /// incarnation answers.
    ///
    /// Guards against a task that runs twice: a minion that refuses connections may do so for a moment
    /// and run its tasks all the while.
    fn update_presence(&mut self, now: Duration, ticket: Ticket, reply: &Reply) {
        let Some(minion) = &mut self.minion else { return };
        match reply {
            Reply::Unknown => {}
            Reply::NotListening => {
                let was_shown = minion.absence.as_ref().is_some_and(Absence::is_shown);
                match &mut minion.absence {
                    Some(absence) => absence.repeat(),
                    None => {
                        let absence = Absence::new(AbsenceCause::NotListening, now, Some(minion));
                        minion.absence = Some(absence);
                    }
                }
                let Some(absence) = minion.absence.as_ref().filter(|it| it.is_shown()) else {
                    return;
                };
                if !was_shown {
                    let id = &minion.incarnation.id;
                    let text = format!("minion={id} seems to be absent: {}", absence.describe(now));
                    let has_answered = minion.has_answered;
                    let left = self.lease_end().saturating_sub(now).as_millis();
                    self.log(format!("{text} limit_ms={left}"));
                    self.has_changes = true;
                    // A heartbeat alone may be a late one of a minion that has ended long ago.
                    if !has_answered {
                        self.withdraw_session();
                        self.forget_minion();
                    }
                }
            }
            Reply::WrongInstance => {
                let absence = Absence::new(AbsenceCause::Replaced, now, Some(minion));
                let id = &minion.incarnation.id;
                let text = format!("minion={id} declared lost: {}", absence.describe(now));
                self.absence = Some(absence);
                self.log(text);
                self.forget_minion();
            }
            _ => {
                let absence = minion.absence.take().filter(Absence::is_shown);
                let back = absence.map(|absence| {
                    let id = &minion.incarnation.id;
                    format!("minion={id} answers again: {}", absence.describe(now))
                });
                minion.has_answered = true;
                minion.last_answer = now;
                if let Some(text) = back {
                    self.log(text);
                    self.has_changes = true;
                }
                self.refute_candidates(ticket, reply);
            }
        }
    }

    /// Notes that the minion goes on although other incarnations have sent heartbeats. Whether one with its
    /// identifier has answered in its place is shown by a list alone.
    fn refute_candidates(&mut self, ticket: Ticket, reply: &Reply) {
        let Some(minion) = &self.minion else { return };
        let id = minion.incarnation.id.clone();
        let may_be_other = match reply {
            Reply::Listed { born_ms, .. } if self.is_other_incarnation(*born_ms) => return,
            Reply::Listed { .. } => None,
            _ => Some(id.as_str()),
        };
        for Incarnation { id: other, born_ms, service, .. } in
            self.candidates.refute(ticket, may_be_other)
        {
            self.log(format!(
                "minion={other} born_ms={born_ms} service={service} is not the worker's: minion={id} \
                 goes on"
            ));
        }
    }

    fn long_poll_answered(&mut self, now: Duration, long_poll: LongPoll, reply: Reply) {
        let is_answered = !matches!(reply, Reply::Unknown | Reply::NotListening);
        self.unanswered_long_polls = if is_answered { 0 } else { self.unanswered_long_polls + 1 };
        let delay = options::retry_delay(self.unanswered_long_polls);
        self.next_long_poll = now + options::LIST_DELAY.max(delay);
        match reply {
            Reply::Listed { born_ms, .. } if self.is_other_incarnation(born_ms) => {
                self.restarted(now, born_ms);
            }
            Reply::Listed { clock, running, ended, unreadable, .. } => {
                self.log_unreadable_rows(now, unreadable);
                self.list_received(now, long_poll, clock, running, ended, unreadable);
            }
            Reply::Refused(Rejection::Fenced) => {
                let token = long_poll.token;
                self.log(format!("token={token} refused: the minion has received a higher one"));
                if long_poll.token == self.session.token {
                    self.lose_leader(now);
                }
            }
            _ => {}
        }
    }

    /// Logs the number of unreadable rows when it changes, since the same rows come with each list.
    fn log_unreadable_rows(&mut self, now: Duration, rows: usize) {
        let (logged, at) = self.logged_unreadable;
        let is_recent = !at.is_zero() && now < at + options::UNREADABLE_LOG_INTERVAL;
        if logged != rows && !is_recent {
            self.logged_unreadable = (rows, now);
            self.log(format!("unreadable rows in the lists of the minion: {rows}"));
        }
    }

    /// Whether `born_ms` shows that another incarnation than the known one has answered.
    fn is_other_incarnation(&self, born_ms: u64) -> bool {
        let known = self.minion.as_ref().map(|minion| minion.incarnation.born_ms);
        born_ms > 0 && known.is_some_and(|known| known != born_ms)
    }

    /// Handles a list which shows that the minion has restarted under the same name.
    ///
    /// Guards against mistaking the new incarnation for the old one. The new one has received no
    /// token and runs nothing that was started before, but it may already run tasks that were
    /// ordered since it started.
    fn restarted(&mut self, now: Duration, born_ms: u64) {
        let Some(minion) = &self.minion else { return };
        if born_ms < minion.incarnation.born_ms && minion.is_confirmed() {
            // A late answer of the previous incarnation.
            return;
        }
        let (id, address) = (minion.incarnation.id.clone(), minion.address.clone());
        let heard = self.candidates.take_incarnation(&id, born_ms);
        let heard = heard.filter(|heartbeat| heartbeat.address == address);
        let (incarnation, sequence) = match heard {
            Some(heartbeat) => (heartbeat.incarnation, heartbeat.sequence),
            None => (Incarnation { born_ms, ..minion.incarnation.clone() }, 0),
        };
        self.log(format!("minion={id} born_ms={born_ms} has restarted under the same name"));
        self.begin_incarnation(now, incarnation, address, sequence);
    }

    /// Takes over the lists of running tasks and of ends, and resolves orders by them.
    fn list_received(
        &mut self,
        now: Duration,
        long_poll: LongPoll,
        clock: Duration,
        running: Vec<Running>,
        ended: Vec<Ended>,
        unreadable: usize,
    ) {
        let token = self.session.token;
        let Some(minion) = &mut self.minion else { return };
        if minion.clock.is_none_or(|(_, read_at)| read_at <= now) {
            minion.clock = Some((clock, now));
        }
        minion.acknowledged = minion.acknowledged.max(long_poll.acknowledged);
        if long_poll.token == token && minion.fenced_token < token {
            if minion.fenced_token == 0 {
                minion.fenced_at = now;
            }
            minion.fenced_token = token;
            self.has_changes = true;
        }
        // Answers on two connections may overtake each other.
        if long_poll.sent_at < minion.list_requested_at {
            return;
        }
        if unreadable > minion.unreadable.0 {
            minion.unreadable.1 = now;
        }
        minion.unreadable.0 = unreadable;
        // A row that can't be read names no task, but may be that of a run or of an end.
        let may_be_ours = unreadable > 0 && now < minion.unreadable.1 + options::UNREADABLE_TIME;
        let is_partial = may_be_ours || ended.len() + unreadable >= LISTED_ENDS;
        minion.is_list_partial = is_partial;
        minion.list_requested_at = long_poll.sent_at;
        minion.list_received_at = now;
        self.find_late_call(long_poll.sent_at, clock, &running, &ended);
        let Some(minion) = &mut self.minion else { return };
        minion.lists += 1;
        minion.started.retain(|_, (_, started_at)| *started_at >= long_poll.sent_at);
        minion.running = running
            .into_iter()
            .filter_map(|running| Some((Task::read(running.run.as_ref()?), running)))
            .collect();
        let acknowledged = self.session.acknowledged;
        minion.ended.retain(|number, _| *number > acknowledged);
        let mut has_ended = false;
        for end in ended.into_iter().filter(|end| end.number > acknowledged) {
            has_ended |= minion.ended.insert(end.number, end).is_none();
        }
        // Guards against reporting one run both as ended and as running: it may have started and
        // ended while this long poll was waiting. The planner would take the run up again after it
        // has recorded the end.
        let ended = &minion.ended;
        minion.started.retain(|_, (running, _)| !ended.values().any(|end| end.run == running.run));
        self.has_changes |= has_ended;
        if minion.ended.is_empty() || minion.acknowledged < self.session.acknowledged {
            self.next_long_poll = now;
        }
        self.resolve_orders(long_poll.sent_at, is_partial);
    }

    /// Looks in a list for a start that was sent before this incarnation began, and so to an earlier one. By
    /// its `clock`, which it has read after `requested_at` and which may be slow, it can't have begun before
    /// some time.
    ///
    /// Guards against tasks that run twice on a platform whose minions carry out calls that name an
    /// earlier incarnation: the planner has to wait for such calls.
    fn find_late_call(
        &mut self,
        requested_at: Duration,
        clock: Duration,
        running: &[Running],
        ended: &[Ended],
    ) {
        if self.late_call.is_some() {
            return;
        }
        let drift = clock * options::CLOCK_DRIFT_MILLI / 1_000;
        let age = clock + drift + options::TIMING_MARGIN;
        let Some(born_after) = requested_at.checked_sub(age) else { return };
        let running = running.iter().filter_map(|running| running.run.as_ref());
        let ended = ended.iter().filter_map(|ended| ended.run.as_ref());
        let found = self.unanswered.find_late_call(born_after, running.chain(ended));
        let Some(found) = found else { return };
        if let Some(run) = &found.run {
            let (task, number) = (Task::read(run), run.run);
            self.log(format!(
                "task={task} run={number} minion={} born_ms={} has carried out a start that was sent \
                 to its incarnation of born_ms={}",
                found.minion, found.born_ms, found.sent_to_ms
            ));
        }
        self.late_call = Some(found);
        self.has_changes = true;
    }
}
