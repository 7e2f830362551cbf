//! Tests of the lines and figures that tell why accepted work is not running.

mod takeover;
