//! Amounts of a worker's resources.

use sapphire_schema::wire::{Shape, Worker};

/// Amount of accelerators, processors and memory, of a worker or of a gang's tasks on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of processor cores.
    pub processors: u32,
    /// Memory, in bytes.
    pub memory_bytes: u64,
}

impl Amount {
    /// Total resources of a worker.
    pub fn of_worker(worker: &Worker) -> Self {
        Amount {
            accelerators: worker.accelerators,
            processors: worker.processors,
            memory_bytes: worker.memory_bytes,
        }
    }

    /// Resources that a number of tasks of the same shape need together.
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

    /// Returns the sum; saturates at the largest number.
    pub fn plus(&self, other: &Amount) -> Amount {
        Amount {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            processors: self.processors.saturating_add(other.processors),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
        }
    }

    /// Returns the difference; zero for each resource of which `other` has more.
    pub fn minus(&self, other: &Amount) -> Amount {
        Amount {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            processors: self.processors.saturating_sub(other.processors),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
        }
    }
}
