//! The reason for which a placed run has not begun, or a stopped one has not ended.

/// The reason for which a placed run has not begun, or a stopped one has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The handover record that contains the start is not durable.
    Record,
    /// The agent is silent, or has no open poll for longer than an answer takes.
    Poll,
    /// The worker's session has not begun, or its minion has sent no list for some time.
    Session,
    /// The planner allows no starts at present.
    Window,
    /// The start is sent with each answer, and the agent does not report it as outstanding.
    Unreceived,
    /// The agent has the start outstanding, and no list shows the run.
    Unconfirmed,
    /// The stop was ordered, and no list shows the end.
    Stop,
}

impl Reason {
    /// All reasons, in the order of their declaration. If the members of a gang have several, that of
    /// the gang is the first.
    pub const ALL: [Reason; 7] = [
        Reason::Record,
        Reason::Poll,
        Reason::Session,
        Reason::Window,
        Reason::Unreceived,
        Reason::Unconfirmed,
        Reason::Stop,
    ];

    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Record => "record",
            Reason::Poll => "poll",
            Reason::Session => "session",
            Reason::Window => "window",
            Reason::Unreceived => "unreceived",
            Reason::Unconfirmed => "unconfirmed",
            Reason::Stop => "stop",
        }
    }
}
