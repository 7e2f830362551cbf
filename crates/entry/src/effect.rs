//! Outputs of the entry's state machine.

use sapphire_store::call;
use sapphire_wire::{Peer, envelope, frame};

use crate::{answer, event};

/// An output, to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Receiver.
        to: Peer,
        /// The message.
        envelope: Box<envelope::Envelope>,
    },
    /// Call the store; the reply is given back with the same identifier.
    Store(event::Operation, call::Call),
    /// Answer a caller.
    Answer(event::Caller, answer::Answer),
    /// Write a log line.
    Log(Line),
    /// All work is done; the process may exit.
    Exit,
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Part of the system that it is written for: `route`, `plan`, `rules` or `member`.
    pub part: &'static str,
    /// Short text with key=value pairs.
    pub text: String,
}

/// Outputs of one component, each kind in order.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages with their receivers.
    pub messages: Vec<(Peer, frame::Body)>,
    /// Log lines.
    pub lines: Vec<Line>,
    /// Answers to callers.
    pub answers: Vec<(event::Caller, answer::Answer)>,
}

impl Output {
    /// Adds a message.
    pub fn send(&mut self, to: &Peer, body: frame::Body) {
        self.messages.push((to.clone(), body));
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
