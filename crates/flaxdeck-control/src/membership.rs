//! Which planner is in charge of a host's incarnation, by each forwarder's own view of who is alive. No election: two views
//! may differ for a while, and [`crate::quotas`] keeps the sum right all the same.

use flaxdeck::hash::{mix, of_name};
use flaxdeck::{Span, Time};

use crate::messages::{Epoch, Incarnation};

/// A planner not heard from for this long is not asked: three reports and the slowest answer worth waiting for.
pub const SILENT: Span = Span::from_ms(1_000);
/// A planner that was silent is in charge again only once it has been heard for so long, so that one that comes
/// and goes does not have deposits moved to and fro.
pub const STEADY: Span = Span::from_ms(500);
/// Nonsense after which a planner is not listened to, and for how long.
const MAX_NONSENSE: u32 = 3;
const SHUNNED: Span = Span::from_ms(30_000);

/// A planner's place in the operator's file, the same in every forwarder's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub u32);

/// What a forwarder knows of one planner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    pub id: PlannerId,
    pub epoch: Epoch,
    /// Its last message's number in that run.
    pub number: u64,
    /// The moment at which what it said last was true at the latest: when what it answers was written.
    pub true_at: Option<Time>,
    heard: Option<Time>,
    /// Since when it has been heard without a silence.
    since: Time,
    invalid_message: u32,
    shunned_until: Time,
    silent_after: Span,
    /// A conversation has begun on which nothing was heard yet: whoever speaks first on it is the present run.
    met: bool,
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refused {
    /// Of an earlier run of its writer.
    OldEpoch,
    /// Not after the last one taken.
    OutOfOrder,
    /// Meant for an earlier run of this side.
    NotForUs,
    /// Says what can't be.
    Nonsense,
    /// Its writer has said too much invalid_message lately.
    Shunned,
}

impl Known {
    pub fn new(id: PlannerId) -> Known {
        let (epoch, number, true_at, heard) = (Epoch(0), 0, None, None);
        let (since, invalid_message, shunned_until, met) =
            (Time::default(), 0, Time::default(), false);
        let silent_after = SILENT;
        Known {
            id,
            epoch,
            number,
            true_at,
            heard,
            since,
            invalid_message,
            shunned_until,
            silent_after,
            met,
        }
    }

    /// How long it may say nothing until it counts as lost, where reports are rarer than usual; never below [`SILENT`].
    pub fn silent_after(&mut self, span: Span) {
        self.silent_after = span.max(SILENT);
    }

    /// A new conversation with it has begun, which only its present run can hold. Without that a run is taken for
    /// earlier than another by its number, which goes back where a clock was set back between the two.
    pub fn met(&mut self) {
        self.met = true;
    }

    /// Whether a message of that run and number is to be taken; what it says may still be invalid_message.
    pub fn admit(&mut self, now: Time, epoch: Epoch, number: u64) -> Result<(), Refused> {
        if now < self.shunned_until {
            return Err(Refused::Shunned);
        }
        if epoch < self.epoch && !self.met {
            return Err(Refused::OldEpoch);
        }
        if epoch == self.epoch && number <= self.number {
            return Err(Refused::OutOfOrder);
        }
        if epoch != self.epoch || !self.live(now) {
            self.since = now;
        }
        self.met = false;
        (self.epoch, self.number, self.heard) = (epoch, number, Some(now));
        Ok(())
    }

    /// It has said what can't be. The paper's penalty for a peer: after some it is left alone for a while.
    pub fn blame(&mut self, now: Time) {
        self.invalid_message += 1;
        if self.invalid_message >= MAX_NONSENSE {
            (self.invalid_message, self.shunned_until, self.heard) = (0, now + SHUNNED, None);
        }
    }

    pub fn live(&self, now: Time) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) < self.silent_after)
            && now >= self.shunned_until
    }

    fn steady(&self, now: Time) -> bool {
        self.live(now) && now.since(self.since) >= STEADY
    }
}

/// The planner in charge of an incarnation: the first of the live ones in the incarnation's own order (rendezvous), steady ones
/// before those that have just come.
pub fn lease_holder(now: Time, planners: &[Known], incarnation: &Incarnation) -> Option<PlannerId> {
    let hash = of_name(&incarnation.host, incarnation.started);
    let live = planners.iter().filter(|planner| planner.live(now));
    let draw = |planner: &&Known| {
        (
            planner.steady(now),
            mix(hash ^ mix(u64::from(planner.id.0) + 1)),
        )
    };
    live.max_by_key(draw).map(|planner| planner.id)
}
