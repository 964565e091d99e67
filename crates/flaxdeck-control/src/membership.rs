//! Which planner holds the leases of a host's incarnation, by each forwarder's own view of which planners are live.
//!
//! Nothing is elected: two forwarders' views may differ for a while, and [`crate::quotas`] keeps the sum right all the
//! same.

use flaxdeck::hash::{mix, of_name};
use flaxdeck::{Span, Time};

use crate::error::MessageError;
use crate::messages::{Epoch, Incarnation};

/// A planner not heard for this long is not live: three reports and the slowest answer worth waiting for.
pub const SILENCE_TIMEOUT: Span = Span::from_ms(1_000);
/// A planner that was silent comes before others only once it has been live for so long, so that deposits do not move to
/// and fro with one that comes and goes.
pub const STABLE_AFTER: Span = Span::from_ms(500);
/// After so many invalid messages a planner is ignored.
const MAX_INVALID_MESSAGES: u32 = 3;
/// For how long it is.
const IGNORED_FOR: Span = Span::from_ms(30_000);

/// A planner's place in the operator's file, the same in every forwarder's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub u32);

/// What a forwarder knows of one planner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlannerStatus {
    id: PlannerId,
    epoch: Epoch,
    /// The number of its last message in that run.
    last_number: u64,
    /// Its last valid guidance was true at this moment or later: when the report that it answers was written.
    valid_at: Option<Time>,
    last_heard: Option<Time>,
    /// Since when it has been live without a gap.
    live_since: Time,
    invalid_messages: u32,
    ignored_until: Time,
    silence_timeout: Span,
    /// A connection was opened on which nothing was heard yet: whoever speaks first on it is the present run.
    awaits_first_contact: bool,
}

impl PlannerStatus {
    /// A planner that was never heard.
    pub fn new(id: PlannerId) -> PlannerStatus {
        PlannerStatus {
            id,
            epoch: Epoch(0),
            last_number: 0,
            valid_at: None,
            last_heard: None,
            live_since: Time::default(),
            invalid_messages: 0,
            ignored_until: Time::default(),
            silence_timeout: SILENCE_TIMEOUT,
            awaits_first_contact: false,
        }
    }

    /// The planner's place in the operator's file.
    pub fn id(&self) -> PlannerId {
        self.id
    }

    /// The run that was heard last; zero if none was.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// When its last valid guidance was surely true; none if there was none.
    pub fn valid_at(&self) -> Option<Time> {
        self.valid_at
    }

    /// Its guidance was valid, and true at that time or later.
    pub fn record_valid(&mut self, at: Time) {
        self.valid_at = Some(at);
    }

    /// How long it may be silent until it is not live any more, where reports are rarer than usual; never below
    /// [`SILENCE_TIMEOUT`].
    pub fn set_silence_timeout(&mut self, timeout: Span) {
        self.silence_timeout = timeout.max(SILENCE_TIMEOUT);
    }

    /// A connection to it was opened, which only its present run can hold. Without that a run is taken for earlier than
    /// another by its epoch, which goes back where a clock was set back between the two.
    pub fn connection_opened(&mut self) {
        self.awaits_first_contact = true;
    }

    /// Whether a message of that run and number is to be taken. What it says may still be invalid.
    ///
    /// # Errors
    ///
    /// [`MessageError::SenderIgnored`], [`MessageError::OldEpoch`] or [`MessageError::OutOfOrder`].
    pub fn admit(&mut self, now: Time, epoch: Epoch, number: u64) -> Result<(), MessageError> {
        if now < self.ignored_until {
            return Err(MessageError::SenderIgnored {
                until: self.ignored_until,
            });
        }
        if epoch < self.epoch && !self.awaits_first_contact {
            return Err(MessageError::OldEpoch { epoch });
        }
        if epoch == self.epoch && number <= self.last_number {
            return Err(MessageError::OutOfOrder {
                number,
                last: self.last_number,
            });
        }
        if epoch != self.epoch || !self.is_live(now) {
            self.live_since = now;
        }
        self.awaits_first_contact = false;
        self.epoch = epoch;
        self.last_number = number;
        self.last_heard = Some(now);
        Ok(())
    }

    /// Counts an invalid message, the paper's penalty for a peer: after some the planner is ignored for a while.
    pub fn record_invalid_message(&mut self, now: Time) {
        self.invalid_messages += 1;
        if self.invalid_messages >= MAX_INVALID_MESSAGES {
            self.invalid_messages = 0;
            self.ignored_until = now + IGNORED_FOR;
            self.last_heard = None;
        }
    }

    /// Whether it was heard lately and is not ignored.
    pub fn is_live(&self, now: Time) -> bool {
        self.last_heard
            .is_some_and(|heard| now.since(heard) < self.silence_timeout)
            && now >= self.ignored_until
    }

    fn is_stable(&self, now: Time) -> bool {
        self.is_live(now) && now.since(self.live_since) >= STABLE_AFTER
    }
}

/// The planner that holds the leases of an incarnation: the first of the live ones in the incarnation's own order
/// (rendezvous hashing), those that have been live for a while before those that have just come. None if no planner is
/// live.
pub fn lease_holder(
    now: Time,
    planners: &[PlannerStatus],
    incarnation: &Incarnation,
) -> Option<PlannerId> {
    let hash = of_name(&incarnation.host, incarnation.started);
    let rank = |planner: &&PlannerStatus| {
        let draw = mix(hash ^ mix(u64::from(planner.id.0) + 1));
        (planner.is_stable(now), draw)
    };
    planners
        .iter()
        .filter(|planner| planner.is_live(now))
        .max_by_key(rank)
        .map(|planner| planner.id)
}
