//! Holds: they renew the minion's lease, fence earlier orders and list what runs.

use std::time::Duration;

use sapphire_jobs::{Ended, Incarnation, LISTED_ENDS, Rejection, Running, task::Task};

use crate::{
    effect::Effect,
    event::Ticket,
    machine::{Hold, Machine, Session},
    minion::{Call, Reply},
    options,
};

impl Machine {
    pub(crate) fn drive_holds(&mut self, now: Duration) {
        if self.session.token == 0 {
            self.drive_bar(now);
            return;
        }
        let Some(minion) = &self.minion else { return };
        let is_listing = minion.ended.keys().any(|number| *number > self.session.noted);
        let is_noting = minion.noted < self.session.noted;
        let is_paused = now < minion.listed + options::LISTED_PAUSE;
        self.wants_list |= !is_paused && self.awaits_list(now);
        if self.wants_list && self.quick_hold.is_none() {
            self.wants_list = false;
            self.quick_hold = self.hold(now, Duration::ZERO);
        }
        if self.waiting_hold.is_none() && now >= self.next_hold {
            let is_prompt = is_listing || is_noting;
            let wait = if is_prompt { Duration::ZERO } else { self.hold_wait(now) };
            self.waiting_hold = self.hold(now, wait);
        }
    }

    /// How long the minion is to wait for an end.
    ///
    /// Guards against starts that were meant for one life of the minion and are carried out by the
    /// next, while a hold waits for an answer of the one before.
    fn hold_wait(&self, now: Duration) -> Duration {
        let is_open = self.unanswered.is_open(now);
        if is_open { options::SHORT_HOLD_WAIT } else { options::HOLD_WAIT }
    }

    /// Has a new life of the minion acknowledge a token above that of the sessions before.
    ///
    /// Guards against an order for the life before that is carried out late by this one, which has
    /// seen no token yet: while no planner can be reached, that may go on for seconds. The next
    /// session's token is this one or a higher one.
    fn drive_bar(&mut self, now: Duration) {
        let is_needed = self.minion.as_ref().is_some_and(|minion| !minion.is_barred);
        let token = self.bar_token();
        if !is_needed || token == 0 || self.bar.is_some() || now < self.next_hold {
            return;
        }
        let call = Call::Hold { deadline: None, token, noted: 0, wait: Duration::ZERO };
        self.bar = self.call(call, options::MINION_TIMEOUT);
    }

    /// A token above those of earlier sessions; 0 when none is known.
    fn bar_token(&self) -> u64 {
        let Session { highest, offered, .. } = self.session;
        let next = if highest > 0 { highest + 1 } else { 0 };
        next.max(offered)
    }

    fn barred(&mut self, now: Duration, reply: &Reply) {
        self.bar = None;
        self.next_hold = now + options::LISTED_PAUSE;
        match reply {
            Reply::Listed { born_ms, .. } if self.is_other_life(*born_ms) => {
                self.reborn(now, *born_ms);
            }
            Reply::Listed { running, ended, .. } => {
                let counts = format!("running={} ended={}", running.len(), ended.len());
                self.note_barred(now, &counts);
            }
            Reply::Refused(rejection) => self.note_barred(now, &format!("refused={rejection:?}")),
            _ => {}
        }
    }

    fn note_barred(&mut self, now: Duration, outcome: &str) {
        let token = self.bar_token();
        let Some(minion) = &mut self.minion else { return };
        minion.is_barred = true;
        let (id, born_ms) = (&minion.incarnation.id, minion.incarnation.born_ms);
        let after = now.saturating_sub(minion.met).as_millis();
        let text = format!(
            "minion={id} born_ms={born_ms} first token={token} after {after} ms, {outcome}"
        );
        self.log(text);
    }

    /// Asks for a list; tells of the ends that are noted unless this life of the minion knows.
    ///
    /// Guards against a next life of the minion that answers instead and forgets its own ends
    /// under these numbers: a hold that waits is sent only once there is nothing to tell, and one
    /// that tells something only right after a list of this life. An agent that has been frozen
    /// asks for a list first.
    fn hold(&mut self, now: Duration, wait: Duration) -> Option<Hold> {
        let token = self.session.token;
        let minion = self.minion.as_ref()?;
        let is_noting = minion.noted < self.session.noted;
        let is_recent = minion.lists > 0 && now < minion.listed_at + options::NOTED_AFTER;
        let noted = if is_noting && is_recent { self.session.noted } else { 0 };
        let call = Call::Hold { deadline: self.deadline(now), token, noted, wait };
        let ticket = self.call(call, wait + options::MINION_TIMEOUT)?;
        Some(Hold { ticket, sent: now, token, noted })
    }

    /// Looks whether a minion is there while none has spoken.
    ///
    /// Guards against a planner that waits for the lease of a minion that ended while this
    /// agent was away: an agent that has just started can't know, but where nothing listens
    /// nothing runs, and whatever listens there later has started later.
    pub(crate) fn drive_look(&mut self, now: Duration) {
        let is_known = self.minion.is_some() || self.is_minion_gone;
        if is_known || self.options.tasks.is_empty() || self.look.ticket.is_some() {
            return;
        }
        if now < self.look.next {
            return;
        }
        let token = self.session.offered;
        let call = Call::Hold { deadline: None, token, noted: 0, wait: Duration::ZERO };
        let ticket = self.ticket();
        self.look.ticket = Some(ticket);
        let (address, life) = (self.options.tasks.clone(), String::new());
        let timeout = options::MINION_TIMEOUT;
        self.out.push(Effect::Minion { ticket, address, life, call, timeout });
    }

    fn looked(&mut self, now: Duration, reply: &Reply) {
        self.look.ticket = None;
        if *reply != Reply::Gone {
            self.look.refusals = 0;
            self.look.next = now + options::LOOK_AGAIN;
            return;
        }
        self.look.next = now + options::LOOK_PAUSE;
        self.look.refusals += 1;
        if self.look.refusals >= options::REFUSALS && self.minion.is_none() {
            self.log("no minion: nothing listens where it would".to_owned());
            self.is_minion_gone = true;
            self.has_news = true;
        }
    }

    /// Takes an answer of the minion to any call.
    pub(crate) fn minion_answered(&mut self, now: Duration, ticket: Ticket, reply: Reply) {
        if self.look.ticket == Some(ticket) {
            self.looked(now, &reply);
            return;
        }
        match reply {
            Reply::Unknown => self.unanswered.give_up(ticket),
            _ => self.unanswered.answered(ticket),
        }
        // An answer to a call that was meant for an earlier life says nothing of this one.
        if self.minion.as_ref().is_some_and(|minion| ticket < minion.first_ticket) {
            return;
        }
        self.note_presence(now, &reply);
        if self.bar == Some(ticket) {
            self.barred(now, &reply);
            return;
        }
        let hold = [&mut self.waiting_hold, &mut self.quick_hold]
            .into_iter()
            .find_map(|hold| hold.take_if(|hold| hold.ticket == ticket));
        match hold {
            Some(hold) => self.held(now, hold, reply),
            None => self.order_answered(now, ticket, reply),
        }
    }

    fn note_presence(&mut self, now: Duration, reply: &Reply) {
        if self.farewell.is_some() {
            return;
        }
        let Some(minion) = &mut self.minion else { return };
        match reply {
            Reply::Unknown => {}
            Reply::Gone => {
                minion.refusals += 1;
                if minion.refusals >= options::REFUSALS {
                    let id = minion.incarnation.id.clone();
                    self.log(format!("minion={id} ended: nothing listens at its address"));
                    self.forget_minion();
                }
            }
            Reply::OtherLife => {
                let id = minion.incarnation.id.clone();
                self.log(format!("minion={id} ended: another life answers at its address"));
                self.forget_minion();
            }
            _ => {
                minion.refusals = 0;
                minion.answered = now;
            }
        }
    }

    fn held(&mut self, now: Duration, hold: Hold, reply: Reply) {
        let is_answered = !matches!(reply, Reply::Unknown | Reply::Gone);
        self.unanswered_holds = if is_answered { 0 } else { self.unanswered_holds + 1 };
        let pause = options::retry_pause(self.unanswered_holds);
        self.next_hold = now + options::LISTED_PAUSE.max(pause);
        match reply {
            Reply::Listed { born_ms, .. } if self.is_other_life(born_ms) => {
                self.reborn(now, born_ms);
            }
            Reply::Listed { clock, running, ended, unreadable, .. } => {
                self.note_unreadable(unreadable);
                self.listed(now, hold, clock, running, ended);
            }
            Reply::Refused(Rejection::Fenced) => {
                let token = hold.token;
                self.log(format!("token={token} refused: the minion has seen a higher one"));
                if hold.token == self.session.token {
                    self.lose_lead(now);
                }
            }
            _ => {}
        }
    }

    /// Rows that can't be read name no task that can be kept or noted; their number is told
    /// whenever it changes, since the same rows come with each list.
    fn note_unreadable(&mut self, unreadable: usize) {
        if self.unreadable != unreadable {
            self.unreadable = unreadable;
            self.log(format!("lists of the minion: rows that can't be read: {unreadable}"));
        }
    }

    fn is_other_life(&self, born_ms: u64) -> bool {
        let known = self.minion.as_ref().map(|minion| minion.incarnation.born_ms);
        born_ms > 0 && known.is_some_and(|known| known != born_ms)
    }

    /// The minion has started again under the name that it had.
    ///
    /// Guards against taking the new life for the old one: it has seen no token and runs nothing
    /// of before, but it may already run what was ordered since it started.
    fn reborn(&mut self, now: Duration, born_ms: u64) {
        let Some(minion) = &self.minion else { return };
        let incarnation = Incarnation { born_ms, ..minion.incarnation.clone() };
        if born_ms < minion.incarnation.born_ms {
            // Late, from the life before.
            return;
        }
        let (address, sequence) = (minion.address.clone(), 0);
        let id = incarnation.id.clone();
        self.log(format!("minion={id} born_ms={born_ms} answers under the same name"));
        self.begin_life(now, incarnation, address, sequence);
    }

    fn listed(
        &mut self,
        now: Duration,
        hold: Hold,
        clock: Duration,
        running: Vec<Running>,
        ended: Vec<Ended>,
    ) {
        let token = self.session.token;
        let Some(minion) = &mut self.minion else { return };
        if minion.clock.is_none_or(|(_, read)| read <= now) {
            minion.clock = Some((clock, now));
        }
        minion.noted = minion.noted.max(hold.noted);
        if hold.token == token && minion.fenced < token {
            minion.fenced = token;
            self.has_news = true;
        }
        // Answers on two connections may overtake each other.
        if hold.sent < minion.listed {
            return;
        }
        let is_cut_off = ended.len() >= LISTED_ENDS;
        minion.listed = hold.sent;
        minion.listed_at = now;
        minion.lists += 1;
        minion.started.retain(|_, (_, at)| *at >= hold.sent);
        minion.running = running
            .into_iter()
            .filter_map(|running| Some((Task::read(running.run.as_ref()?), running)))
            .collect();
        let noted = self.session.noted;
        minion.ended.retain(|number, _| *number > noted);
        let mut has_ended = false;
        for end in ended.into_iter().filter(|end| end.number > noted) {
            has_ended |= minion.ended.insert(end.number, end).is_none();
        }
        // Guards against telling of one run as ended and as running: it may have started and
        // ended while this hold was waiting, and the planner would take it up again.
        let ended = &minion.ended;
        minion.started.retain(|_, (running, _)| !ended.values().any(|end| end.run == running.run));
        self.has_news |= has_ended;
        if minion.ended.is_empty() || minion.noted < self.session.noted {
            self.next_hold = now;
        }
        self.settle_orders(hold.sent, is_cut_off);
    }
}
