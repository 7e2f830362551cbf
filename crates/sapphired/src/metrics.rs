//! Sends counters and gauges as StatsD over UDP.

use std::net::UdpSocket;

use cadence::{Counted as _, Gauged as _, NopMetricSink, StatsdClient, UdpMetricSink};
use eyre::WrapErr as _;
use sapphire_settings::Metrics;

use crate::mesh;

/// Prefix of all metric names; the name of the process follows it.
const PREFIX: &str = "sapphireline";

/// Sends metrics, or drops them when the settings name no receiver.
pub struct Sender {
    client: StatsdClient,
}

impl Sender {
    /// Opens a socket to the receiver, if the settings name one. `process` is the name of the entry
    /// or agent.
    ///
    /// # Errors
    /// When no local socket can be opened or the receiver's address is invalid.
    pub fn new(settings: &Metrics, process: &str) -> eyre::Result<Self> {
        let prefix = format!("{PREFIX}.{process}");
        if settings.address.is_empty() {
            return Ok(Sender { client: StatsdClient::from_sink(&prefix, NopMetricSink) });
        }
        let socket = UdpSocket::bind("0.0.0.0:0").wrap_err("cannot open a socket for metrics")?;
        socket.set_nonblocking(true).wrap_err("cannot open a socket for metrics")?;
        let sink = UdpMetricSink::from(settings.address.as_str(), socket)
            .wrap_err("invalid address of the metrics receiver")?;
        Ok(Sender { client: StatsdClient::from_sink(&prefix, sink) })
    }

    /// Adds to a counter. Errors are ignored, since datagrams may be lost anyway.
    pub fn count(&self, name: &str, by: i64) {
        let _ = self.client.count(name, by);
    }

    /// Counts a message that was passed to [`mesh::Mesh::send`].
    pub fn count_sent(&self, outcome: mesh::Sent) {
        match outcome {
            mesh::Sent::Queued(bytes) => {
                self.count("frames.sent_bytes", i64::try_from(bytes).unwrap_or(i64::MAX));
            }
            mesh::Sent::Dropped => self.count("frames.dropped", 1),
        }
    }

    /// Sets a gauge. Errors are ignored, since datagrams may be lost anyway.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
