//! Plays one case: `stage CASE FOLDER RECORD`. `TROUBLE=0` plays it without the disruption. Exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod minion;
mod record;
mod store;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: stage CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = cases::Stage { record: &record, folder, trouble };
    let play = match case.as_str() {
        "foreign-heartbeat" => cases::foreign_heartbeat,
        "many-occurrences" => cases::many_occurrences,
        "many-tasks" => cases::many_tasks,
        "large-orders" => cases::large_orders,
        "other-kind" => cases::other_kind,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let (text, code) = match play(&stage) {
        Ok(None) => ("held".to_owned(), 0),
        Ok(Some(broken)) => (format!("broken: {broken}"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case} trouble={trouble}: {text}");
    ExitCode::from(code)
}
