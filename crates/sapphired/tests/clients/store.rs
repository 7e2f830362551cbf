//! Stand-in of the platform's store on a thread of its own.

use std::{net::SocketAddr, thread, time::Duration};

use sapphire_net::{
    clock,
    hub::{CallerId, Event, Hub},
    message::{Limits, Response},
};
use sapphire_proofs::store::Store;
use sapphire_standins::jobs_platform as platform;
use sapphire_store::call::{Call, Reply};

/// Text in the key of an item whose reads are never answered.
pub const WITHHELD: &str = "withheld";
/// Longest wait for network events.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a watch is answered although nothing has changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a store with the configuration of one queue, `/q/`, until the test process ends.
pub fn serve(address: SocketAddr) {
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.listen(address, Limits::default()).expect("the address is free");
    let mut store = Store::default();
    platform::configure(&mut store, clock::now(), 0);
    thread::spawn(move || {
        let mut watches: Vec<(CallerId, Call, Duration)> = Vec::new();
        loop {
            hub.poll(POLL_INTERVAL).expect("the event queue works");
            let now = clock::now();
            while let Some(event) = hub.next_event() {
                let Event::Request { caller, request, .. } = event else { continue };
                match platform::store_call(&request) {
                    Some(Call::Get { key }) if key.contains(WITHHELD) => {}
                    Some(call) => watches.push((caller, call, now + WATCH_TIMEOUT)),
                    None => hub.answer(caller, &Response::new(404, "")),
                }
            }
            for (caller, mut call, deadline) in std::mem::take(&mut watches) {
                if let Call::WatchPrefix { wait, .. } = &mut call
                    && now >= deadline
                {
                    *wait = Duration::ZERO;
                }
                match store.call(now, &call) {
                    Some(Reply::Changes { items, .. }) if items.is_empty() && now < deadline => {
                        watches.push((caller, call, deadline));
                    }
                    Some(reply) => hub.answer(caller, &platform::store_response(&call, &reply)),
                    None => watches.push((caller, call, deadline)),
                }
            }
        }
    });
}
