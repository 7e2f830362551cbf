//! Tests in virtual time, most of them under faults.

mod extremes;
mod hard_load;
mod jobs;
mod late;
mod overload;
mod promises;
mod runs;
mod scenarios;
mod stands_still;
mod suspicions;
mod zones;
