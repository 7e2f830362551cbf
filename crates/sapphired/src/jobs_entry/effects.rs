//! What the entry's two machines want done.

use std::{collections::VecDeque, time::Duration};

use sapphire_front as front;
use sapphire_net::message::Response;
use sapphire_planner::{self as planner, event::Moment, planner::Planner};

use super::{Origin, Pending, Role, Work, options};
use crate::inner;

/// Time for short calls between processes.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);

impl Role {
    pub(super) fn perform(&mut self, now: Moment, mut work: VecDeque<Work>) {
        while let Some(next) = work.pop_front() {
            match next {
                Work::Front(effect) => self.front_effect(now, effect),
                Work::Planner(effect) => self.planner_effect(now, effect, &mut work),
            }
        }
    }

    fn front_effect(&mut self, now: Moment, effect: front::effect::Effect) {
        use front::effect::Effect;
        match effect {
            Effect::Answer(caller, answer) => self.answer(now, caller, &answer),
            Effect::Store(operation, call) => {
                self.store_call(now, Origin::Front(operation), call);
            }
            Effect::Feed { address, poll } => {
                let hub = &mut self.net.borrow_mut();
                let timeout = front::options::FEED_TIMEOUT;
                let id = inner::call(hub, &address, "POST", inner::FEED, &poll, timeout);
                self.calls.extend(id.map(|id| (id, Pending::Feed { sent: now.steady })));
            }
            Effect::Notice { address, notice } => {
                let hub = &mut self.net.borrow_mut();
                let id = inner::call(hub, &address, "POST", inner::NOTICE, &*notice, SHORT_TIMEOUT);
                self.calls.extend(id.map(|id| (id, Pending::Told)));
            }
            Effect::QueryLeader { address } => {
                let hub = &mut self.net.borrow_mut();
                let id = inner::call(hub, &address, "GET", inner::LEAD, &(), SHORT_TIMEOUT);
                self.calls.extend(id.map(|id| (id, Pending::Lead)));
            }
            Effect::Catalog(catalog) => {
                self.catalog = catalog.clone();
                self.planner_event(now, planner::event::Event::Catalog(catalog));
            }
            Effect::CatalogVerified { revision, at } => {
                self.planner_event(now, planner::event::Event::CatalogVerified { revision, at });
            }
            Effect::Plan(term) => {
                let options = options::planner(&self.settings);
                self.planner = Some(Planner::new(options, term, self.catalog.clone(), now));
                self.planner_event(now, planner::event::Event::Tick);
            }
            Effect::Resign => self.planner = None,
            Effect::Log(text) => self.levels.info("front", &text),
        }
    }

    fn planner_effect(
        &mut self,
        now: Moment,
        effect: planner::effect::Effect,
        work: &mut VecDeque<Work>,
    ) {
        use planner::effect::Effect;
        match effect {
            Effect::Orders(caller, orders) => {
                self.net.borrow_mut().answer(caller, &inner::response(&*orders));
            }
            Effect::Feed(caller, feed) => {
                self.net.borrow_mut().answer(caller, &inner::response(&*feed));
            }
            Effect::Decline(caller) => {
                self.net.borrow_mut().answer(caller, &Response::new(inner::DECLINED, ""));
            }
            Effect::Store(operation, call) => {
                let Some(term) = self.planner.as_ref().map(Planner::term) else { return };
                self.store_call(now, Origin::Planner { term, operation }, call);
            }
            Effect::Announce(addresses) => self.announce(&addresses),
            Effect::Log(text) => self.levels.info("plan", &text),
            Effect::Deposed => {
                self.planner = None;
                work.extend(self.front.deposed(now.steady).into_iter().map(Work::Front));
            }
        }
    }

    fn announce(&mut self, addresses: &[String]) {
        let Some(lead) = self.front.leader().cloned() else { return };
        for address in addresses {
            let hub = &mut self.net.borrow_mut();
            let id = inner::call(hub, address, "POST", inner::LEAD, &lead, SHORT_TIMEOUT);
            self.calls.extend(id.map(|id| (id, Pending::Told)));
        }
    }
}
