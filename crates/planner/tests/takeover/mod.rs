//! Tests of changes of planners while a worker of the earlier term is silent.

mod attempts;
mod earlier;
mod fleet;
mod goes_on;
mod holds;
mod log;
mod random;
mod scene;
