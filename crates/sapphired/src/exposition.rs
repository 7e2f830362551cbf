//! Counters, gauges and latency histograms as text, for whoever reads the metrics address.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Arc, Mutex},
};

use cadence::{MetricSink, StatsdClient};
use hdrhistogram::Histogram;

/// Prefix of all names.
const PREFIX: &str = "sapphireline";
/// Longest time that a histogram tells apart, in milliseconds.
const LONGEST: u64 = 600_000;
/// Significant digits of a histogram: 1% of error is enough to find a slow part.
const DIGITS: u8 = 2;
/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Default)]
struct Values {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, f64>,
    times: BTreeMap<String, Histogram<u64>>,
}

/// Values by name.
#[derive(Clone, Default)]
pub struct Registry {
    values: Arc<Mutex<Values>>,
}

/// Takes metrics as cadence formats them.
struct Sink(Registry);

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.0.take(metric);
        Ok(metric.len())
    }
}

impl Registry {
    /// A client whose metrics end up here.
    pub fn client(&self) -> StatsdClient {
        StatsdClient::from_sink(PREFIX, Sink(self.clone()))
    }

    /// Takes `name:value|kind`; anything else is nothing that this process has sent.
    fn take(&self, metric: &str) {
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
                let times = values.times.entry(name).or_insert_with(new_histogram);
                times.saturating_record(value.parse().unwrap_or(0));
            }
            _ => {}
        }
    }

    /// All values as text.
    pub fn text(&self) -> String {
        let values = self.values.lock().expect("no thread panics while it holds this");
        let mut text = String::new();
        let mut line = |line: std::fmt::Arguments<'_>| {
            text.write_fmt(line).expect("a string takes all that is written");
        };
        for (name, value) in &values.counters {
            line(format_args!("# TYPE {name} counter\n{name} {value}\n"));
        }
        for (name, value) in &values.gauges {
            line(format_args!("# TYPE {name} gauge\n{name} {value}\n"));
        }
        for (name, times) in &values.times {
            line(format_args!("# TYPE {name}_ms summary\n"));
            for quantile in QUANTILES {
                let value = times.value_at_quantile(quantile);
                line(format_args!("{name}_ms{{quantile=\"{quantile}\"}} {value}\n"));
            }
            line(format_args!("{name}_ms_count {}\n", times.len()));
        }
        text
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST, DIGITS).expect("the bounds are allowed")
}
