//! How far an instance has come back, by what it knows, and whether it takes clients. One that can't yet tell whether
//! its list is true would give each client a bounce or a guess; a client that finds nobody listening turns to another
//! dispatcher at once.

use flaxdeck::words::{Span, Time};

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
pub enum Unheard {
    /// It listens after so long, and bounces with a time to come back.
    BounceAfter(Span),
    /// It trusts the list after the shortest wait.
    GoOn,
}

/// How long an instance that would go on anyway waits for somebody to vouch: a connection and an answer on a slow
/// network, a tenth of the grace after a drain.
const TRIES: Span = Span::from_ms(100);

/// An instance that comes back.
pub struct Return {
    began: Time,
    unheard: Unheard,
    vouched: Option<Time>,
    listened: Option<Time>,
    full: bool,
}

impl Return {
    pub fn begin(now: Time, unheard: Unheard) -> Return {
        Return { began: now, unheard, vouched: None, listened: None, full: false }
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
            (None, Unheard::GoOn) => self.began + TRIES,
            (None, Unheard::BounceAfter(after)) => self.began + after,
        }
    }

    /// How long it took until the list was vouched for and until clients were taken, for the log.
    pub fn took(&self) -> [Option<Span>; 2] {
        [self.vouched, self.listened].map(|at| at.map(|at| at.since(self.began)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time::at_ms(1_000.0 + ms as f64)
    }

    #[test]
    fn clients_are_taken_once_the_list_is_vouched_for() {
        let mut back = Return::begin(at(0), Unheard::BounceAfter(Span::from_ms(2_500)));
        assert_eq!((back.phase(at(9), at(0)), back.listens_at()), (Phase::Listed, at(2_500)));
        back.vouched(at(12));
        back.vouched(at(700));
        assert_eq!(back.listens_at(), at(12));
        assert_eq!(back.phase(at(13), at(5_000)), Phase::Vouched);
        assert_eq!(back.phase(at(5_000), at(5_000)), Phase::Full);
        assert_eq!(back.full(at(4_999), at(5_000)), None);
        assert_eq!(back.full(at(5_000), at(5_000)), Some(Span::from_ms(5_000)));
        assert_eq!(back.full(at(5_001), at(5_000)), None, "told once");
        back.listens(at(14));
        assert_eq!(back.took(), [Some(Span::from_ms(12)), Some(Span::from_ms(14))]);
    }

    #[test]
    fn one_that_nobody_answers_does_as_its_file_says() {
        let back = |unheard| Return::begin(at(0), unheard).listens_at();
        assert_eq!(back(Unheard::GoOn), at(100));
        assert_eq!(back(Unheard::BounceAfter(Span::from_ms(900))), at(900));
    }
}
