//! Log lines on standard error or standard output: time, level, part of the system, and a short
//! sentence with `key=value` pairs.

use eyre::WrapErr as _;
use log::LevelFilter;
use sapphire_net::turned_away::TurnedAway;
use sapphire_settings::Logging;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

use crate::sink;

/// Writes log lines under the level that the settings give for each part of the system.
#[derive(Clone, Debug)]
pub struct Logger {
    settings: Logging,
}

/// Starts logging to standard error.
///
/// # Errors
/// When a logger was already started.
pub fn start(settings: &Logging) -> eyre::Result<Logger> {
    TermLogger::init(LevelFilter::Trace, config(), TerminalMode::Stderr, ColorChoice::Never)
        .wrap_err("cannot start logging")?;
    Ok(Logger { settings: settings.clone() })
}

/// Starts logging to standard output through a bounded queue. Never blocks: lines that do not fit
/// are dropped and counted.
///
/// # Errors
/// When a logger was already started, or the writing thread can't be started.
pub fn start_bounded(settings: &Logging) -> eyre::Result<Logger> {
    WriteLogger::init(LevelFilter::Trace, config(), sink::Sink::start()?)
        .wrap_err("cannot start logging")?;
    Ok(Logger { settings: settings.clone() })
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("sapphire")
        .build()
}

/// Line about callers that met a limit, if there were any.
pub fn turned_away(counts: &TurnedAway) -> Option<String> {
    let texts: Vec<String> =
        counts.by_reason().map(|(reason, count)| format!("{reason}={count}")).collect();
    (!texts.is_empty()).then(|| format!("callers turned away {}", texts.join(" ")))
}

impl Logger {
    /// Level of a part; the general level for parts without a setting of their own.
    fn level(&self, part: &str) -> LevelFilter {
        let level = match part {
            "route" => &self.settings.route,
            "plan" => &self.settings.plan,
            "rules" => &self.settings.rules,
            "member" => &self.settings.member,
            "agent" => &self.settings.agent,
            "edge" => &self.settings.edge,
            _ => &self.settings.level,
        };
        level.parse().unwrap_or(LevelFilter::Info)
    }

    /// Writes one line, preceded by the name of the part, if the part's level allows it.
    pub fn info(&self, part: &str, text: &str) {
        if self.level(part) >= LevelFilter::Info {
            log::info!(target: "sapphire", "{part}: {text}");
        }
    }
}
