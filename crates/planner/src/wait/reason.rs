//! The reason for which a group that is due is not placed.

/// The reason for which a group that is due is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Not enough resources are free.
    Capacity,
    /// Enough resources are free, but only together with workers in cordoned zones.
    Cordoned,
    /// Enough resources are free, but only together with suspect workers that are excluded.
    Suspect,
    /// Free resources are kept for starts that may still be carried out.
    Pending,
    /// Free workers are too slow for the group's objective.
    Slow,
    /// The group waits for a place near its data, or on one rack.
    Rack,
    /// The group waits for workers on which it has not failed or been too slow.
    Avoided,
    /// Free resources are kept for urgent work that is likely to arrive.
    Headroom,
    /// Free resources are reserved or claimed for other groups.
    Reserved,
    /// Resources that are being released are claimed for the group.
    Claim,
    /// Nothing is stopped for the group: its job is above its share, or has enough tasks running.
    Entitlement,
    /// The planner has no memory for more runs.
    Memory,
    /// Earlier starts of the group have no answer and may still be carried out.
    Unanswered,
    /// A worker may still be running a task of the group.
    Running,
    /// The job was accepted in an earlier term, whose runs are not all known yet.
    Takeover,
    /// The planner has not yet recorded its term and its workers in the store.
    Startup,
    /// The planner's list of cordons is missing or too old.
    Cordons,
    /// The cancellations that the planner knows are too old.
    Intake,
    /// No entry reaches the store, so that no start can be recorded.
    Store,
    /// The lease on the leader key has ended, and another entry may have taken over.
    Lease,
    /// The handover record may lack starts of earlier terms.
    Handover,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Reason; 21] = [
        Reason::Capacity,
        Reason::Cordoned,
        Reason::Suspect,
        Reason::Pending,
        Reason::Slow,
        Reason::Rack,
        Reason::Avoided,
        Reason::Headroom,
        Reason::Reserved,
        Reason::Claim,
        Reason::Entitlement,
        Reason::Memory,
        Reason::Unanswered,
        Reason::Running,
        Reason::Takeover,
        Reason::Startup,
        Reason::Cordons,
        Reason::Intake,
        Reason::Store,
        Reason::Lease,
        Reason::Handover,
    ];

    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Capacity => "capacity",
            Reason::Cordoned => "cordoned",
            Reason::Suspect => "suspect",
            Reason::Pending => "pending",
            Reason::Slow => "slow",
            Reason::Rack => "rack",
            Reason::Avoided => "avoided",
            Reason::Headroom => "headroom",
            Reason::Reserved => "reserved",
            Reason::Claim => "claim",
            Reason::Entitlement => "entitlement",
            Reason::Memory => "memory",
            Reason::Unanswered => "unanswered",
            Reason::Running => "running",
            Reason::Takeover => "takeover",
            Reason::Startup => "startup",
            Reason::Cordons => "cordons",
            Reason::Intake => "intake",
            Reason::Store => "store",
            Reason::Lease => "lease",
            Reason::Handover => "handover",
        }
    }

    /// Returns whether the group waits for a better place than those that it could have now.
    pub(crate) fn is_preference(self) -> bool {
        matches!(
            self,
            Reason::Suspect
                | Reason::Slow
                | Reason::Rack
                | Reason::Avoided
                | Reason::Headroom
                | Reason::Reserved
        )
    }

    /// Returns whether an attempt to place a group that gives this reason leaves open why it found
    /// too few resources.
    pub(crate) fn is_coarse(self) -> bool {
        matches!(self, Reason::Capacity | Reason::Entitlement)
    }
}
