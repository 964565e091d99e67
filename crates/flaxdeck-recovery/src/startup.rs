//! How far an instance has come back, by what it knows, and whether it takes clients. One that can't yet tell whether
//! its list is true would give each client a rejection or a guess; a client that finds nobody listening turns to another
//! dispatcher at once.

use flaxdeck::{Span, Time};

/// How far an instance has come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has a list, from a file or a store, and nobody has told that it is still true.
    Listed,
    /// It is known to be true.
    Vouched,
    /// The same, and what it may use of cold hosts is its own again.
    Full,
}

/// What an instance does once nobody vouches for its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutContact {
    /// It listens after so long, and rejects with a time to come back.
    RejectAfter(Span),
    /// It trusts the list after the shortest wait.
    GoOn,
}

/// How long an instance that would go on anyway waits for somebody to vouch: a connection and an answer on a slow
/// network, a tenth of the grace after a drain.
const TRIES: Span = Span::from_ms(100);

/// An instance that comes back.
pub struct Startup {
    began: Time,
    unheard: WithoutContact,
    vouched: Option<Time>,
    listened: Option<Time>,
    full: bool,
}

impl Startup {
    pub fn begin(now: Time, unheard: WithoutContact) -> Startup {
        Startup {
            began: now,
            unheard,
            vouched: None,
            listened: None,
            full: false,
        }
    }

    /// Somebody vouches for the list.
    pub fn vouched(&mut self, now: Time) {
        self.vouched.get_or_insert(now);
    }

    /// Clients are taken from now on.
    pub fn listens(&mut self, now: Time) {
        self.listened.get_or_insert(now);
    }

    pub fn phase(&self, now: Time, owns_from: Time) -> Phase {
        match self.vouched {
            None => Phase::Listed,
            Some(_) if now < owns_from => Phase::Vouched,
            Some(_) => Phase::Full,
        }
    }

    /// How long the whole return took, told once, when it has come to its end.
    pub fn full(&mut self, now: Time, owns_from: Time) -> Option<Span> {
        let reached = !self.full && self.phase(now, owns_from) == Phase::Full;
        self.full |= reached;
        reached.then(|| now.since(self.began))
    }

    /// When clients are to be taken whatever has been heard by then.
    pub fn listens_at(&self) -> Time {
        match (self.vouched, self.unheard) {
            (Some(at), _) => at,
            (None, WithoutContact::GoOn) => self.began + TRIES,
            (None, WithoutContact::RejectAfter(after)) => self.began + after,
        }
    }

    /// How long it took until the list was vouched for and until clients were taken, for the log.
    pub fn took(&self) -> [Option<Span>; 2] {
        [self.vouched, self.listened].map(|at| at.map(|at| at.since(self.began)))
    }
}
