//! Switches for the mechanisms of the scheduling policy.

/// The mechanisms that are in use. All are on unless the settings switch them off; the fields are
/// named as in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Run times are learned from earlier runs, rather than taken as declared.
    pub learn_times: bool,
    /// Run times of a step are learned from those of its tasks that have ended or are running.
    pub learn_siblings: bool,
    /// Checkpoints of a run are used even if the end of the run was never reported.
    pub keep_checkpoints: bool,
    /// A planner also learns run times from runs that ended under earlier planners.
    pub keep_times: bool,
    /// Resources are reserved for the first waiting group where they are released soonest.
    pub reserve_room: bool,
    /// A job's objective grows with the number of waves that a wide step needs.
    pub count_waves: bool,
    /// An urgent job stops other work only as far as is needed for the complete job to end in time.
    pub limit_urgent: bool,
    /// The time that urgent work waits for resources is chosen by the expected costs of waiting and
    /// of stopping other work.
    pub weigh_waits: bool,
    /// The lateness that a stop causes the stopped job counts when the work to stop is chosen.
    pub weigh_lateness: bool,
    /// Some workers are reserved for work that loses nothing when it is stopped.
    pub spare_workers: bool,
    /// Work waits for some time for a worker near its data, or for workers on one rack.
    pub wait_for_rack: bool,
    /// Work of low priority that is close to its deadline competes with work of priority 1.
    pub prefer_pressing: bool,
    /// Runs that are far slower than expected are stopped and restarted elsewhere.
    pub move_slow: bool,
    /// Runs that are stalled are stopped and restarted elsewhere.
    pub move_still: bool,
    /// Workers on which tasks fail, stall or are slow are the last choice.
    pub doubt_workers: bool,
}

impl Policy {
    /// Switches off the mechanism of the given name. Returns whether there is one.
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
