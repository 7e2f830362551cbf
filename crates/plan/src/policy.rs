//! Which mechanisms of the policy are in force.

/// Switches of the policy's mechanisms, all on unless the settings say otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Run times are learned from what ran, rather than taken as declared.
    pub learn_times: bool,
    /// Run times of a step are learned from its tasks that ran or run.
    pub learn_siblings: bool,
    /// Progress that a run has saved is kept although the run's end is never told.
    pub keep_checkpoints: bool,
    /// A planner learns run times also from what ended under earlier ones.
    pub keep_times: bool,
    /// Room is kept for the first group that waits, where it comes free soonest.
    pub reserve_room: bool,
    /// The time that a caller wants a job in grows with the waves that a wide step needs.
    pub count_waves: bool,
    /// An urgent job stops other work only as far as it needs to end in time as a whole.
    pub limit_urgent: bool,
    /// How long urgent work waits for room is weighed by what a wait and a stop cost.
    pub weigh_waits: bool,
    /// What a stop costs the stopped job's caller counts when work to stop is chosen.
    pub weigh_lateness: bool,
    /// Some workers are left to work that loses nothing when it is stopped.
    pub spare_workers: bool,
    /// Work waits for a while for a place near its data, or on one rack.
    pub wait_for_rack: bool,
    /// Work of low priority that would soon be late competes with that above.
    pub prefer_pressing: bool,
    /// Runs that are far slower than they should be go elsewhere.
    pub move_slow: bool,
    /// Runs that make no progress go elsewhere.
    pub move_still: bool,
    /// Workers on which work fails, stands still or is slow are taken last.
    pub doubt_workers: bool,
}

impl Policy {
    /// Switches off one mechanism by its name; whether there is one of that name.
    pub fn switch_off(&mut self, name: &str) -> bool {
        let switch = match name {
            "learn_times" => &mut self.learn_times,
            "learn_siblings" => &mut self.learn_siblings,
            "keep_checkpoints" => &mut self.keep_checkpoints,
            "keep_times" => &mut self.keep_times,
            "reserve_room" => &mut self.reserve_room,
            "count_waves" => &mut self.count_waves,
            "limit_urgent" => &mut self.limit_urgent,
            "weigh_waits" => &mut self.weigh_waits,
            "weigh_lateness" => &mut self.weigh_lateness,
            "spare_workers" => &mut self.spare_workers,
            "wait_for_rack" => &mut self.wait_for_rack,
            "prefer_pressing" => &mut self.prefer_pressing,
            "move_slow" => &mut self.move_slow,
            "move_still" => &mut self.move_still,
            "doubt_workers" => &mut self.doubt_workers,
            _ => return false,
        };
        *switch = false;
        true
    }
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            learn_times: true,
            learn_siblings: true,
            keep_checkpoints: true,
            keep_times: true,
            reserve_room: true,
            count_waves: true,
            limit_urgent: true,
            weigh_waits: true,
            weigh_lateness: true,
            spare_workers: true,
            wait_for_rack: true,
            prefer_pressing: true,
            move_slow: true,
            move_still: true,
            doubt_workers: true,
        }
    }
}
