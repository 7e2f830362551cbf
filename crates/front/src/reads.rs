//! Requests for the state of a running job, which wait briefly for the job's end.

use std::time::Duration;

use sapphire_jobs::State;

use crate::{answer::Answer, event::Caller, machine::Machine, options, state::reads::WaitingRead};

impl Machine {
    /// Answers with a job's state. For a running job the answer waits until the job ends, for at
    /// most [`options::READ_WAIT`].
    pub(crate) fn read_state(&mut self, now: Duration, caller: Caller, id: &str, state: State) {
        let is_full = self.reads.waiting.len() >= options::MAX_WAITING_READS;
        if state != State::Active || self.is_terminating || is_full {
            self.answer(caller, Answer::State(state));
            return;
        }
        let deadline = now + options::READ_WAIT;
        self.reads.waiting.push(WaitingRead { caller, id: id.to_owned(), deadline });
    }

    /// Answers callers whose job is no longer running or whose deadline has passed.
    pub(crate) fn drive_reads(&mut self, now: Duration) {
        let mut answers = Vec::new();
        let (view, is_terminating) = (&self.view, self.is_terminating);
        self.reads.waiting.retain(|read| {
            let state = view.state(&read.id);
            if state == Some(State::Active) && now < read.deadline && !is_terminating {
                return true;
            }
            // A job that is no longer in the view ended long ago; its caller will ask again.
            answers.push((read.caller, state.unwrap_or(State::Active)));
            false
        });
        for (caller, state) in answers {
            self.answer(caller, Answer::State(state));
        }
    }
}
