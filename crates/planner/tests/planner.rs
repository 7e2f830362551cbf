//! Tests of the planner, driven event by event.

mod bounds;
mod causes;
mod cordons;
mod handover;
mod harness;
mod intake;
mod inventory;
mod isolation;
mod late;
mod load;
mod mute;
mod odd;
mod placed;
mod progress;
mod reserve;
mod shares;
mod speed;
mod speeds;
mod stands_still;
mod superseded;
mod supply;
mod takeover;
mod terms;
mod unasked;
mod urgent;
mod waits;
