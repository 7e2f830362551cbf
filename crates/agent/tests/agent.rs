//! The agent's own decisions.

mod ledger;
mod slots;
