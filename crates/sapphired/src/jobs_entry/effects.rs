//! Performs the effects of the entry's two state machines.

use std::{collections::VecDeque, time::Duration};

use sapphire_front as front;
use sapphire_net::message::Response;
use sapphire_planner::{self as planner, event::Moment, planner::Planner};
use sapphire_platform as platform;

use super::{Origin, Pending, Role, Work, options};
use crate::{internal, shares};

/// Timeout of calls between processes that are answered at once.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

impl Role {
    /// Performs effects and those that follow from them, in order.
    pub(super) fn perform(&mut self, now: Moment, mut work: VecDeque<Work>) {
        while let Some(next) = work.pop_front() {
            match next {
                Work::Front(effect) => self.perform_front(now, effect),
                Work::Planner(effect) => self.perform_planner(now, effect, &mut work),
            }
        }
    }

    fn perform_front(&mut self, now: Moment, effect: front::effect::Effect) {
        use front::effect::Effect;
        match effect {
            Effect::Answer(caller, answer) => self.send_answer(now, caller, &answer),
            Effect::Store(operation, call) => {
                self.call_store(now, Origin::Front(operation), call);
            }
            Effect::Feed { address, poll } => {
                let hub = &mut self.net.borrow_mut();
                let timeout = front::options::FEED_TIMEOUT;
                let id = internal::call(hub, &address, "POST", internal::FEED, &poll, timeout);
                let pending = Pending::Feed { sent: now.steady, address };
                self.calls.extend(id.map(|id| (id, pending)));
            }
            Effect::Notice { address, notice } => {
                let hub = &mut self.net.borrow_mut();
                let id =
                    internal::call(hub, &address, "POST", internal::NOTICE, &*notice, CALL_TIMEOUT);
                self.calls.extend(id.map(|id| (id, Pending::Notification)));
            }
            Effect::QueryLeader { address } => {
                let hub = &mut self.net.borrow_mut();
                let id = internal::call(hub, &address, "GET", internal::LEADER, &(), CALL_TIMEOUT);
                self.calls.extend(id.map(|id| (id, Pending::LeaderQuery)));
            }
            Effect::Catalog(catalog) => {
                self.catalog = catalog.clone();
                let body_bytes = shares::caller_body(catalog.max_body_bytes);
                self.net.borrow_mut().set_body_limit(self.listeners.callers, body_bytes);
                self.handle_planner_event(now, planner::event::Event::Catalog(catalog));
            }
            Effect::CatalogVerified { revision, at } => {
                self.handle_planner_event(
                    now,
                    planner::event::Event::CatalogVerified { revision, at },
                );
            }
            Effect::Plan(term) => {
                let options = options::planner(&self.settings);
                let mut planner = Planner::new(options, term, self.catalog.clone(), now);
                planner.expect_entries(self.front.other_entries());
                planner.expect_terms(self.front.seen_terms());
                planner.expect_clocks(self.front.planner_clocks());
                self.planner = Some(planner);
                self.handle_planner_event(now, planner::event::Event::Tick);
            }
            Effect::Resign => self.end_planner(),
            Effect::Log(text) => self.logger.info("front", &text),
        }
    }

    fn perform_planner(
        &mut self,
        now: Moment,
        effect: planner::effect::Effect,
        work: &mut VecDeque<Work>,
    ) {
        use planner::effect::Effect;
        match effect {
            Effect::Orders(caller, orders) => {
                self.net.borrow_mut().answer(caller, &internal::response(&*orders));
            }
            Effect::Feed(caller, feed) => {
                self.net.borrow_mut().answer(caller, &internal::response(&*feed));
            }
            Effect::Decline(caller) => {
                self.net.borrow_mut().answer(caller, &Response::new(internal::DECLINED, ""));
            }
            Effect::Store(operation, call) => {
                let Some(term) = self.planner.as_ref().map(Planner::term) else { return };
                self.call_store(now, Origin::Planner { term, operation }, call);
            }
            Effect::Inventory(token) => self.read_inventory(&token),
            Effect::Announce(addresses) => self.announce_leader(&addresses),
            Effect::Log(text) => self.logger.info("plan", &text),
            Effect::Deposed => {
                self.end_planner();
                work.extend(self.front.deposed(now.steady).into_iter().map(Work::Front));
            }
        }
    }

    /// Reads a page of the inventory of VMs.
    fn read_inventory(&mut self, token: &str) {
        let term = self.planner.as_ref().map(Planner::term);
        let (Some(term), Some(address)) = (term, self.inventory) else { return };
        let request = platform::inventory::request(token);
        let id = self.net.borrow_mut().call(address, &request, CALL_TIMEOUT);
        self.calls.insert(id, Pending::Inventory { term });
    }

    /// Tells agents that this entry plans.
    fn announce_leader(&mut self, addresses: &[String]) {
        let Some(leader) = self.front.leader().cloned() else { return };
        for address in addresses {
            let hub = &mut self.net.borrow_mut();
            let id = internal::call(hub, address, "POST", internal::LEADER, &leader, CALL_TIMEOUT);
            self.calls.extend(id.map(|id| (id, Pending::Notification)));
        }
    }
}
