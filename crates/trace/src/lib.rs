//! Runs the planner's scheduling decisions over synthetic load in virtual time and compares them
//! with baseline policies over the same load. Development only; never shipped.

pub mod baseline;
pub mod deployment;
pub mod figures;
pub mod load;
pub mod run;
