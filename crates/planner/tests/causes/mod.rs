//! Tests of the lines and figures that tell why accepted work is not running.

mod delays;
mod inventory;
mod standstills;
mod takeover;

use crate::harness::Fixture;

/// Returns the lines that contain a text, one after another.
fn lines(fixture: &Fixture, text: &str) -> String {
    let lines = fixture.log.iter().filter(|line| line.contains(text));
    lines.cloned().collect::<Vec<_>>().join("\n")
}
