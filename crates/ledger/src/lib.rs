//! Reports wasted work and late jobs from the logs of all programs.
//! Performs no I/O: takes log lines and returns a report.
//!
//! [`mod@line`] splits a log line into time, part and message, [`event`] parses the message,
//! [`history`] reconstructs runs and jobs from the events, [`report`] aggregates them, [`delay`]
//! attributes the time of a late job to causes, and [`text`] and [`chart`] render the result.

pub mod chart;
pub mod delay;
pub mod event;
pub mod history;
pub mod line;
pub mod report;
pub mod text;
