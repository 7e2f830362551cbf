//! Amounts of processors, memory and accelerators that tasks need and workers have.

use sapphire_schema::jobs;

/// Amounts of all resources that are scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Converts from the wire message. An absent message means no resources.
    pub fn read(message: Option<&jobs::Room>) -> Self {
        message.map_or_else(Resources::default, |resources| Resources {
            millicores: resources.millicores.into(),
            memory_mib: resources.memory_mib,
            accelerators: resources.accelerators.into(),
        })
    }

    /// Converts to the wire message. Amounts that exceed its fields are capped.
    pub fn message(self) -> jobs::Room {
        jobs::Room {
            millicores: u32::try_from(self.millicores).unwrap_or(u32::MAX),
            memory_mib: self.memory_mib,
            accelerators: u32::try_from(self.accelerators).unwrap_or(u32::MAX),
        }
    }

    /// Sum of both amounts.
    #[must_use]
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of both amounts; zero for a resource of which `other` has more.
    #[must_use]
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Larger of both amounts, for each resource.
    #[must_use]
    pub fn component_max(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The amounts multiplied by `count`.
    #[must_use]
    pub fn times(self, count: u64) -> Resources {
        Resources {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Number of tasks that need `task` each and fit into these resources together. A resource
    /// that the task does not need sets no limit.
    pub fn count_fitting(self, task: Resources) -> u32 {
        let counts = [
            self.millicores.checked_div(task.millicores),
            self.memory_mib.checked_div(task.memory_mib),
            self.accelerators.checked_div(task.accelerators),
        ];
        let lowest = counts.into_iter().flatten().min().unwrap_or(u64::from(u32::MAX));
        u32::try_from(lowest).unwrap_or(u32::MAX)
    }

    /// All resources as one number of processors. An accelerator counts as eight processors, which
    /// is how users price lost work; memory does not count.
    pub fn weight(self) -> f64 {
        const CORES_PER_ACCELERATOR: f64 = 8.0;
        self.millicores as f64 / 1_000.0 + self.accelerators as f64 * CORES_PER_ACCELERATOR
    }
}
