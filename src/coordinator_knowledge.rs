//! How much of the coordinator's events a process knows, as two notions with a type each.
//!
//! A process has *caught up* ([`CaughtUpAt`]) when no further event seems to be on its way. That may be a guess, such as
//! from a pause between two events. It is enough to go on: to accept clients and to relay events.
//!
//! A process is *complete* as of a time ([`CompleteAsOf`]) if it knows every event that the coordinator had by then.
//! Only a statement of the protocol shows that. It alone decides how long the endpoint list and the known purges may be
//! relied on.

use crate::Time;

/// A time at which no further event of the coordinator seemed to be on its way. It says nothing about how long the
/// endpoint list may be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CaughtUpAt(Time);

impl CaughtUpAt {
    /// Creates the value for that time.
    pub fn new(at: Time) -> CaughtUpAt {
        CaughtUpAt(at)
    }

    /// Returns the time.
    pub fn time(self) -> Time {
        self.0
    }
}

/// A time as of which every event that the coordinator had is known here. There is one constructor for each statement
/// of the protocol that shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompleteAsOf(Time);

impl CompleteAsOf {
    /// By a heartbeat of the coordinator, which says that there is nothing new. `sent` is when it was sent at the
    /// earliest.
    pub fn by_heartbeat(sent: Time) -> CompleteAsOf {
        CompleteAsOf(sent)
    }

    /// By the configuration that a dispatcher starts with, which holds all events so far.
    pub fn by_configuration(started: Time) -> CompleteAsOf {
        CompleteAsOf(started)
    }

    /// By the message of a planner that was complete as of that time and stands at the same event.
    pub fn by_planner(as_of: Time) -> CompleteAsOf {
        CompleteAsOf(as_of)
    }

    /// Returns the time.
    pub fn time(self) -> Time {
        self.0
    }
}

/// What a process knows of the coordinator's events at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CoordinatorKnowledge {
    /// No further event seems to be on its way.
    pub is_caught_up: bool,
    /// As of when all events are known; none if that is not known of any time.
    pub complete_as_of: Option<CompleteAsOf>,
}

impl CoordinatorKnowledge {
    /// Caught up, and complete as of that time.
    pub fn complete(as_of: CompleteAsOf) -> CoordinatorKnowledge {
        CoordinatorKnowledge {
            is_caught_up: true,
            complete_as_of: Some(as_of),
        }
    }
}
