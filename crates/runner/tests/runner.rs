//! Tests of the agent beside a minion.

mod agent;
mod cordons;
mod harness;
mod incarnations;
mod orders;
mod presence;
mod storms;
