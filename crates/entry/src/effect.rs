//! What an entry wants done.

use sapphire_store::call;
use sapphire_wire::{Peer, envelope, frame};

use crate::{answer, event};

/// One output of the state machine.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Receiver.
        to: Peer,
        /// Message.
        envelope: Box<envelope::Envelope>,
    },
    /// Call the store.
    Store(event::Operation, call::Call),
    /// Answer a caller.
    Answer(event::Caller, answer::Answer),
    /// Write a log line.
    Log(Line),
    /// All work is done; the process may exit.
    Exit,
}

/// One log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Part that speaks: `route`, `plan`, `rules` or `member`.
    pub part: &'static str,
    /// Short sentence with key=value pairs.
    pub text: String,
}

/// Output of one part of the machine, in order.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages.
    pub sends: Vec<(Peer, frame::Body)>,
    /// Log lines.
    pub lines: Vec<Line>,
    /// Answers to callers.
    pub answers: Vec<(event::Caller, answer::Answer)>,
}

impl Output {
    /// Adds a message.
    pub fn send(&mut self, to: &Peer, body: frame::Body) {
        self.sends.push((to.clone(), body));
    }

    /// Adds a log line.
    pub fn log(&mut self, part: &'static str, text: String) {
        self.lines.push(Line { part, text });
    }

    /// Adds an answer.
    pub fn answer(&mut self, caller: event::Caller, answer: answer::Answer) {
        self.answers.push((caller, answer));
    }
}
