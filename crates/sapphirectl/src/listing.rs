//! Commands `workers`, `minions` and `organisations`.

use serde_json::Value;

use crate::{client::Client, exit, table};

const WORKERS: [&str; 9] =
    ["name", "region", "zone", "rack", "accelerators", "free", "borrowed", "draining", "heard"];
const MINIONS: [&str; 8] =
    ["name", "service", "region", "zone", "slots", "free", "draining", "heard"];
const ORGANISATIONS: [&str; 5] = ["name", "weight", "priority", "quota", "queue"];

/// Prints the list `what`: `workers`, `minions` or `organisations`.
///
/// # Errors
/// If no entry answers.
pub fn run(client: &Client, what: &str, json: bool) -> eyre::Result<i32> {
    let answer = client.get(&format!("/v1/{what}"))?;
    if json {
        println!("{}", answer.body);
        return Ok(exit::OK);
    }
    let none = Vec::new();
    let rows = answer.body[what].as_array().unwrap_or(&none);
    match what {
        "workers" => table::print(&WORKERS, rows),
        "minions" => table::print(&MINIONS, rows),
        _ => {
            table::print(&ORGANISATIONS, rows);
            rows.iter().for_each(print_guarantees);
        }
    }
    Ok(exit::OK)
}

fn print_guarantees(organisation: &Value) {
    for guarantee in organisation["guarantees"].as_array().into_iter().flatten() {
        let text = guarantee["shape"].as_str().unwrap_or_default();
        println!("{}: guaranteed {} x ({text})", organisation["name"], guarantee["count"]);
    }
}
