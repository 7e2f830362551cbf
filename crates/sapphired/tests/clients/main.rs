//! The daemon's processes under crowds of clients that break the limits of its interfaces.
//!
//! Each test starts one process whose settings allow it [`daemon::MEMORY`] and [`daemon::DESCRIPTORS`],
//! and sends what clients outside the limits may send. The process has to live, to stay within both,
//! and to answer an ordinary request while the crowd is still connected. Nothing depends on time.

/// Defines tests that each start the interface of the module and call one of its methods, which say
/// what they guard against.
macro_rules! tests {
    ($($name:ident: $method:ident,)*) => {
        $(
            #[test]
            fn $name() {
                start().$method();
            }
        )*
    };
}

mod agent;
mod crowd;
mod daemon;
mod entry;
mod interface;
mod store;

mod agent_internal;
mod agent_metrics;
mod callers;
mod http;
mod internal;
mod jobs;
mod machines;
mod mesh;
mod metrics;
mod minion;
mod ready;
#[path = "../../src/shares.rs"]
mod shares;
