//! The startup phase of an instance, and when the instance begins to accept clients.
//!
//! An instance whose endpoint list is unconfirmed could only reject each client or route it by a list that may be
//! wrong, while a client whose connection is refused turns to another dispatcher at once. So the instance does not
//! listen before its list is confirmed or the wait for that has ended.

use std::fmt;

use flaxdeck::{Span, Time};

/// How far the startup of an instance has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The instance has an endpoint list from its configuration or stored state, which is unconfirmed.
    Listed,
    /// The endpoint list is confirmed.
    Confirmed,
    /// The endpoint list is confirmed, and the instance may use its own quotas of warming hosts again.
    Full,
}

impl fmt::Display for Phase {
    /// Writes the name of the phase as in the log, which `docs/on-call.md` explains.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Phase::Listed => "Listed",
            Phase::Confirmed => "Vouched",
            Phase::Full => "Full",
        })
    }
}

/// What an instance does if its endpoint list is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutContact {
    /// Starts to listen after this time, and rejects requests with a retry-after.
    RejectAfter(Span),
    /// Trusts the endpoint list after a short wait for a confirmation.
    GoOn,
}

/// How long an instance with [`WithoutContact::GoOn`] waits for a confirmation: enough to connect and get an answer
/// over a slow network, and a tenth of the grace period after a drain.
const MIN_CONFIRMATION_WAIT: Span = Span::from_ms(100);

/// Durations of the steps of a startup, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartupTimes {
    /// Time until the endpoint list was confirmed.
    pub confirmed: Option<Span>,
    /// Time until the instance began to accept clients.
    pub listening: Option<Span>,
}

/// The startup of an instance.
pub struct Startup {
    began: Time,
    without_contact: WithoutContact,
    confirmed: Option<Time>,
    listening: Option<Time>,
    is_complete: bool,
}

impl Startup {
    /// Starts tracking an instance that was started at `now`.
    pub fn begin(now: Time, without_contact: WithoutContact) -> Startup {
        Startup {
            began: now,
            without_contact,
            confirmed: None,
            listening: None,
            is_complete: false,
        }
    }

    /// Records that the endpoint list is confirmed. Only the first call counts.
    pub fn list_confirmed(&mut self, now: Time) {
        self.confirmed.get_or_insert(now);
    }

    /// Records that the instance accepts clients from now on. Only the first call counts.
    pub fn started_listening(&mut self, now: Time) {
        self.listening.get_or_insert(now);
    }

    /// Returns the current phase, where the instance may use its own quotas from `own_quota_from` on.
    pub fn phase(&self, now: Time, own_quota_from: Time) -> Phase {
        match self.confirmed {
            None => Phase::Listed,
            Some(_) if now < own_quota_from => Phase::Confirmed,
            Some(_) => Phase::Full,
        }
    }

    /// Returns the duration of the whole startup, once: at the first call after it is complete.
    pub fn completed(&mut self, now: Time, own_quota_from: Time) -> Option<Span> {
        let is_reached = !self.is_complete && self.phase(now, own_quota_from) == Phase::Full;
        self.is_complete |= is_reached;
        is_reached.then(|| now.since(self.began))
    }

    /// Returns when the instance begins to accept clients if its endpoint list is not confirmed before; the time of the
    /// confirmation if it is.
    pub fn listens_at(&self) -> Time {
        match (self.confirmed, self.without_contact) {
            (Some(at), _) => at,
            (None, WithoutContact::GoOn) => self.began + MIN_CONFIRMATION_WAIT,
            (None, WithoutContact::RejectAfter(after)) => self.began + after,
        }
    }

    /// Returns the durations of the steps completed so far.
    pub fn times(&self) -> StartupTimes {
        let since_start = |at: Time| at.since(self.began);
        StartupTimes {
            confirmed: self.confirmed.map(since_start),
            listening: self.listening.map(since_start),
        }
    }
}
