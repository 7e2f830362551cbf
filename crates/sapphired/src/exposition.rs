//! Counters, gauges and histograms of durations, served as text at the metrics address in the
//! Prometheus exposition format.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Arc, Mutex},
};

use cadence::{MetricSink, StatsdClient};
use hdrhistogram::Histogram;

/// Prefix of all metric names.
const PREFIX: &str = "sapphireline";
/// Longest duration that a histogram records, in milliseconds; longer ones count as this.
const MAX_DURATION_MS: u64 = 600_000;
/// Significant digits of a histogram: an error of 1% is small enough to find what is slow.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles that are written for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Default)]
struct Values {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, f64>,
    durations: BTreeMap<String, Histogram<u64>>,
}

/// Current values of all metrics, by name. Clones share the values.
#[derive(Clone, Default)]
pub struct Registry {
    values: Arc<Mutex<Values>>,
}

/// Receives metrics from cadence, formatted as StatsD lines.
struct Sink(Registry);

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.0.record(metric);
        Ok(metric.len())
    }
}

impl Registry {
    /// Client whose metrics are recorded in this registry.
    pub fn client(&self) -> StatsdClient {
        StatsdClient::from_sink(PREFIX, Sink(self.clone()))
    }

    /// Records a line of the form `name:value|kind`. Ignores anything else: this process sends no
    /// other lines.
    fn record(&self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else { return };
        let Some((value, kind)) = rest.split_once('|') else { return };
        let name = name.replace(['.', '-'], "_");
        let mut values = self.values.lock().expect("no thread panics while it holds this");
        match kind.split('|').next() {
            Some("c") => *values.counters.entry(name).or_default() += value.parse().unwrap_or(0),
            Some("g") => {
                values.gauges.insert(name, value.parse().unwrap_or(0.0));
            }
            Some("ms") => {
                let durations = values.durations.entry(name).or_insert_with(new_histogram);
                durations.saturating_record(value.parse().unwrap_or(0));
            }
            _ => {}
        }
    }

    /// Writes all values in the exposition format.
    pub fn text(&self) -> String {
        let values = self.values.lock().expect("no thread panics while it holds this");
        let mut text = String::new();
        let mut line = |line: std::fmt::Arguments<'_>| {
            text.write_fmt(line).expect("writing to a string never fails");
        };
        for (name, value) in &values.counters {
            line(format_args!("# TYPE {name} counter\n{name} {value}\n"));
        }
        for (name, value) in &values.gauges {
            line(format_args!("# TYPE {name} gauge\n{name} {value}\n"));
        }
        for (name, durations) in &values.durations {
            line(format_args!("# TYPE {name}_ms summary\n"));
            for quantile in QUANTILES {
                let value = durations.value_at_quantile(quantile);
                line(format_args!("{name}_ms{{quantile=\"{quantile}\"}} {value}\n"));
            }
            line(format_args!("{name}_ms_count {}\n", durations.len()));
        }
        text
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_DURATION_MS, SIGNIFICANT_DIGITS).expect("the bounds are allowed")
}
