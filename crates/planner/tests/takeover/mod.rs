//! Tests of changes of planners while a worker of the earlier term is silent.

mod earlier;
mod goes_on;
mod holds;
mod log;
mod random;
mod scene;
