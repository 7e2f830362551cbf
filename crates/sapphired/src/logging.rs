//! Log lines on standard error or output: time, level, part, short sentence with key=value pairs.

use eyre::WrapErr as _;
use log::LevelFilter;
use sapphire_settings::Logging;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

use crate::sink;

/// Levels by part.
#[derive(Clone, Debug)]
pub struct Levels {
    settings: Logging,
}

/// Starts logging.
///
/// # Errors
/// When a logger was already started.
pub fn start(settings: &Logging) -> eyre::Result<Levels> {
    TermLogger::init(LevelFilter::Trace, config(), TerminalMode::Stderr, ColorChoice::Never)
        .wrap_err("logging")?;
    Ok(Levels { settings: settings.clone() })
}

/// Starts logging to standard output, bounded and without ever waiting for it.
///
/// # Errors
/// When a logger was already started, or the thread that writes can't be.
pub fn start_bounded(settings: &Logging) -> eyre::Result<Levels> {
    WriteLogger::init(LevelFilter::Trace, config(), sink::Sink::start()?).wrap_err("logging")?;
    Ok(Levels { settings: settings.clone() })
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

impl Levels {
    fn of(&self, part: &str) -> LevelFilter {
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

    /// Writes one line of a part.
    pub fn info(&self, part: &str, text: &str) {
        if self.of(part) >= LevelFilter::Info {
            log::info!(target: "sapphire", "{part}: {text}");
        }
    }
}
