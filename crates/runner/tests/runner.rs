//! Tests of the agent beside a minion.

mod agent;
mod harness;
mod orders;
