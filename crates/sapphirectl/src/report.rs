//! Command `report`: wasted work and late jobs, from the logs of all programs.

use std::fs;

use eyre::WrapErr as _;
use sapphire_ledger::{chart, history::History, report::Report, text};

use crate::{args, exit};

/// Reads the logs, writes the timeline if one is requested, and prints the report.
///
/// # Errors
/// If a log can't be read, or the timeline can't be drawn or written.
pub fn run(args: &args::Report, json: bool) -> eyre::Result<i32> {
    if args.logs.is_empty() {
        println!("no log file is given");
        return Ok(exit::FINDINGS);
    }
    let mut texts = Vec::new();
    for path in &args.logs {
        let bytes = fs::read(path).wrap_err_with(|| format!("{} can't be read", path.display()))?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let history = History::read(texts.iter().flat_map(|text| text.lines()));
    if history.span.is_none() {
        println!("none of {} lines can be read as a log of sapphired", history.lines);
        return Ok(exit::FINDINGS);
    }
    if let Some(path) = &args.svg {
        let picture = chart::draw(&history).map_err(|error| eyre::eyre!("{error}"))?;
        fs::write(path, picture)
            .wrap_err_with(|| format!("{} can't be written", path.display()))?;
    }
    let report = Report::new(&history);
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", text::write(&report));
    }
    Ok(exit::OK)
}
