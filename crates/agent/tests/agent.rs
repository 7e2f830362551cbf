//! Tests of the agent's ledger and slots.

mod ledger;
mod slots;
