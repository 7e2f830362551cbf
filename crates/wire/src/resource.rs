//! Amounts of what a worker has.

use sapphire_schema::wire::{Shape, Worker};

/// Accelerators, processors and memory, of a worker or of a gang's tasks on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Whole accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub processors: u32,
    /// Memory in bytes.
    pub memory_bytes: u64,
}

impl Amount {
    /// All that a worker has.
    pub fn of_worker(worker: &Worker) -> Self {
        Amount {
            accelerators: worker.accelerators,
            processors: worker.processors,
            memory_bytes: worker.memory_bytes,
        }
    }

    /// What some tasks of a shape need together.
    pub fn of_tasks(shape: &Shape, tasks: u32) -> Self {
        Amount {
            accelerators: shape.accelerators.saturating_mul(tasks),
            processors: shape.processors.saturating_mul(tasks),
            memory_bytes: shape.memory_bytes.saturating_mul(u64::from(tasks)),
        }
    }

    /// Whether `other` fits into this amount.
    pub fn holds(&self, other: &Amount) -> bool {
        self.accelerators >= other.accelerators
            && self.processors >= other.processors
            && self.memory_bytes >= other.memory_bytes
    }

    /// Sum.
    pub fn plus(&self, other: &Amount) -> Amount {
        Amount {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            processors: self.processors.saturating_add(other.processors),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
        }
    }

    /// Difference, zero where `other` is larger.
    pub fn minus(&self, other: &Amount) -> Amount {
        Amount {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            processors: self.processors.saturating_sub(other.processors),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
        }
    }
}
