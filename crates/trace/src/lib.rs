//! Drives the real decisions over made-up load in virtual time, against baselines in the same
//! run. Development only; never shipped.

pub mod baseline;
pub mod deployment;
pub mod figures;
pub mod load;
pub mod run;
