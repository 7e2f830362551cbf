//! Heartbeats of processes that are not minions of the system, sent to its agents.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_net::message::Request;
use sapphire_proofs::jobs::minion::Minion;
use sapphire_standins::jobs_platform as platform;
use serde_json::{Value, json};

use super::{HEARTBEAT_INTERVAL, Pending, Soak};

/// Share of the agents that get such a heartbeat in a round.
const SHARE: f64 = 0.3;

impl Soak {
    /// Sends a heartbeat of another service to some of the agents.
    pub(super) fn send_foreign_heartbeats(&mut self) {
        if !self.options.trouble.foreign {
            return;
        }
        let seed = self.options.seed ^ 0x000f_04e1 ^ self.sequence.rotate_left(20);
        let rng = &mut Pcg32::seed_from_u64(seed);
        for (agent, minion) in (0..).zip(&self.minions) {
            if !rng.random_bool(SHARE) {
                continue;
            }
            // Nothing listens at the other address.
            let address = self.net.minion(agent).to_string();
            let address = if rng.random_bool(0.5) { address } else { "127.0.0.1:1".to_owned() };
            let request = foreign(rng, minion, &address, self.sequence);
            let call = self.hub.call(self.net.heartbeats(agent), &request, HEARTBEAT_INTERVAL);
            self.pending.insert(call, Pending::Heartbeat);
        }
    }
}

/// Returns the heartbeat of a process of another service, which may have the identifier of a minion.
fn foreign(rng: &mut Pcg32, minion: &Minion, address: &str, sequence: u64) -> Request {
    let own = platform::heartbeat(minion, address, sequence);
    let mut body: Value = serde_json::from_slice(&own.body).unwrap_or_default();
    body["service"] = json!("nobody");
    let born = minion.incarnation.born_ms;
    body["born"] = json!([born, born + 1_000, born.saturating_sub(1_000)][rng.random_range(0..3)]);
    let has_own_id = rng.random_bool(0.5);
    let target = if has_own_id { own.target } else { "/instances/i-foreign".to_owned() };
    Request::new("PUT", &target, body.to_string())
}
