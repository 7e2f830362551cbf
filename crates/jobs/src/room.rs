//! What tasks take and workers have.

use sapphire_schema::jobs;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Thousandths of a processor.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Room {
    /// Reads a message; absent means nothing.
    pub fn read(message: Option<&jobs::Room>) -> Self {
        message.map_or_else(Room::default, |room| Room {
            millicores: room.millicores.into(),
            memory_mib: room.memory_mib,
            accelerators: room.accelerators.into(),
        })
    }

    /// Writes a message.
    pub fn message(self) -> jobs::Room {
        jobs::Room {
            millicores: u32::try_from(self.millicores).unwrap_or(u32::MAX),
            memory_mib: self.memory_mib,
            accelerators: u32::try_from(self.accelerators).unwrap_or(u32::MAX),
        }
    }

    /// The sum.
    #[must_use]
    pub fn plus(self, other: Room) -> Room {
        Room {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference; nothing where more is taken than there is.
    #[must_use]
    pub fn minus(self, other: Room) -> Room {
        Room {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn most(self, other: Room) -> Room {
        Room {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// So many times as much.
    #[must_use]
    pub fn times(self, count: u64) -> Room {
        Room {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// How many tasks of a size fit in.
    pub fn holds(self, task: Room) -> u32 {
        let parts = [
            self.millicores.checked_div(task.millicores),
            self.memory_mib.checked_div(task.memory_mib),
            self.accelerators.checked_div(task.accelerators),
        ];
        let least = parts.into_iter().flatten().min().unwrap_or(u64::from(u32::MAX));
        u32::try_from(least).unwrap_or(u32::MAX)
    }

    /// One figure for the whole amount, in processors; an accelerator counts as eight, which is
    /// how the users price work that was lost.
    pub fn weight(self) -> f64 {
        const CORES_PER_ACCELERATOR: f64 = 8.0;
        self.millicores as f64 / 1_000.0 + self.accelerators as f64 * CORES_PER_ACCELERATOR
    }
}
