//! How far an instance has come back, by what it knows, and whether it takes clients.
//!
//! One that can't tell yet whether its list is true would give each client a rejection or a guess; a client that finds
//! nobody listening turns to another dispatcher at once.

use std::fmt;

use flaxdeck::{Span, Time};

/// How far an instance has come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has a list of hosts, from a file or stored state, and nobody has confirmed it.
    Listed,
    /// The list is confirmed.
    Confirmed,
    /// The same, and its own shares of warming hosts may be used again.
    Full,
}

impl fmt::Display for Phase {
    /// The words of the log, which `docs/on-call.md` explains.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Phase::Listed => "Listed",
            Phase::Confirmed => "Vouched",
            Phase::Full => "Full",
        })
    }
}

/// What an instance does if nobody confirms its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutContact {
    /// It listens after so long, and rejects with a time to come back.
    RejectAfter(Span),
    /// It trusts the list after the shortest wait.
    GoOn,
}

/// How long an instance that would go on anyway waits for a confirmation: a connection and an answer on a slow network, a
/// tenth of the grace after a drain.
const SHORTEST_WAIT: Span = Span::from_ms(100);

/// How long the steps of a startup took, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartupTimes {
    /// Until the list was confirmed.
    pub confirmed: Option<Span>,
    /// Until clients were taken.
    pub listening: Option<Span>,
}

/// An instance that comes back.
pub struct Startup {
    began: Time,
    without_contact: WithoutContact,
    confirmed: Option<Time>,
    listening: Option<Time>,
    is_complete: bool,
}

impl Startup {
    /// It has just started.
    pub fn begin(now: Time, without_contact: WithoutContact) -> Startup {
        Startup {
            began: now,
            without_contact,
            confirmed: None,
            listening: None,
            is_complete: false,
        }
    }

    /// Somebody has confirmed the list.
    pub fn list_confirmed(&mut self, now: Time) {
        self.confirmed.get_or_insert(now);
    }

    /// Clients are taken from now on.
    pub fn started_listening(&mut self, now: Time) {
        self.listening.get_or_insert(now);
    }

    /// How far it has come; its own shares may be used from `own_share_from` on.
    pub fn phase(&self, now: Time, own_share_from: Time) -> Phase {
        match self.confirmed {
            None => Phase::Listed,
            Some(_) if now < own_share_from => Phase::Confirmed,
            Some(_) => Phase::Full,
        }
    }

    /// How long the whole startup took, given once, when it is complete.
    pub fn completed(&mut self, now: Time, own_share_from: Time) -> Option<Span> {
        let is_reached = !self.is_complete && self.phase(now, own_share_from) == Phase::Full;
        self.is_complete |= is_reached;
        is_reached.then(|| now.since(self.began))
    }

    /// When clients are to be taken whatever is heard until then.
    pub fn listens_at(&self) -> Time {
        match (self.confirmed, self.without_contact) {
            (Some(at), _) => at,
            (None, WithoutContact::GoOn) => self.began + SHORTEST_WAIT,
            (None, WithoutContact::RejectAfter(after)) => self.began + after,
        }
    }

    /// How long the steps took so far.
    pub fn times(&self) -> StartupTimes {
        let since_start = |at: Time| at.since(self.began);
        StartupTimes {
            confirmed: self.confirmed.map(since_start),
            listening: self.listening.map(since_start),
        }
    }
}
