//! Runs that stand still or are far slower than they should be.

use std::time::Duration;

use sapphire_jobs::task::{GroupKey, Task, WorkerName};

use crate::{event::Moment, planner::Planner, worker::Phase};

/// Least time without progress that counts as standing still. Above the interval of the reports
/// and the start-up of a task.
const STILL: Duration = Duration::from_millis(1_500);
/// Lists in a row without progress that count as standing still. One may be old.
const STILL_LISTS: u32 = 2;
/// Share of its expected time without progress that counts as standing still.
const STILL_SHARE: f64 = 0.3;

impl Planner {
    /// Stops runs that stand still, so that they go elsewhere.
    ///
    /// Guards against a minion that says it is well while its tasks make no progress: such a
    /// task would hold its room, and its caller would wait, for ever.
    pub(crate) fn watch_progress(&mut self, now: Moment) {
        let mut still: Vec<(WorkerName, Task)> = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.is_fenced || now.steady > worker.heard + Duration::from_millis(700) {
                continue;
            }
            for (task, run) in &worker.runs {
                if run.phase != Phase::Running || run.percent >= 100 || run.still < STILL_LISTS {
                    continue;
                }
                let Some(entry) = self.table.entries.get(&task.job) else { continue };
                let Some(step) = entry.step(task.step) else { continue };
                if step.is_long_running {
                    continue;
                }
                let expected = self.expect(entry, step).mul_f64(STILL_SHARE);
                let far = self.options.remote_factor.max(1);
                let group = entry.groups.get(&GroupKey::of(task, step.is_gang));
                let active = group.and_then(|group| group.active());
                let is_far = active.is_none_or(|active| active.is_far);
                let limit = STILL.max(if is_far { expected * far } else { expected });
                if now.steady > run.moved + limit {
                    still.push((name.clone(), task.clone()));
                }
            }
        }
        for (name, task) in still {
            self.stop_still(now, &name, &task);
        }
    }

    fn stop_still(&mut self, now: Moment, name: &str, task: &Task) {
        let Some(entry) = self.table.entries.get_mut(&task.job) else { return };
        let Some(step) = entry.step(task.step) else { return };
        let key = GroupKey::of(task, step.is_gang);
        let Some(group) = entry.groups.get_mut(&key) else { return };
        group.avoid.push(name.to_owned());
        self.suspects.failed(name, now.steady);
        self.log(format!("task={task} worker={name} stands still; stopped to go elsewhere"));
        self.stop_group(&task.job, &key);
    }
}
