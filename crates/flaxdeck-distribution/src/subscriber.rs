//! The forwarder's side of the distribution of events: which planner it follows, and what of the planners' messages is
//! applied.
//!
//! The position is the last event that was applied here. It moves only by what follows from it:
//!
//! - A batch applies if it begins at the position, to the hash, and its counts add up to its numbers. So no event is
//!   skipped and none is applied out of order, whatever is lost, duplicated or late.
//! - Where that can't be, the position is told to the planner anew. A planner that does not keep it gives a snapshot,
//!   and the snapshot says how far back its purges reach; unless that covers the time in which hosts drop purged copies
//!   by themselves, purges may be missing, and no copy from before is to be served.
//! - A snapshot replaces the list of hosts, so an older one could bring a withdrawn host back. Planners give them only
//!   while they have all that the coordinator has, and here one is taken only if its planner has heard the coordinator
//!   since the position last moved: then it knows all that was applied here, in whatever numbering.

mod checks;
mod coordinator_need;
mod deliveries;
mod error;
mod planner;
mod requests;
mod selection;

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::cadence::Cadence;
use crate::fingerprint::Fingerprint;
use crate::messages::FullEvent;
use coordinator_need::CoordinatorNeed;
pub use error::{DeliveryError, InvalidDelivery};
use planner::Planner;

/// A planner's place in the operator's file, the same in every forwarder's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerNumber(pub u32);

/// What a delivery changes here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Applied {
    /// Nothing.
    Nothing,
    /// All that follows the position, up to another.
    Events {
        /// Single objects that were purged.
        purges: Vec<Fingerprint>,
        /// All other events, in order.
        events: Vec<FullEvent>,
        /// The new position.
        last: EventPosition,
    },
    /// The state at a position, in place of what was known.
    Snapshot {
        /// A frame that tells the full list of hosts.
        list: Vec<u8>,
        /// Single objects that were purged.
        purges: Vec<Fingerprint>,
        /// Groups that were purged.
        group_purges: Vec<FullEvent>,
        /// The new position.
        position: EventPosition,
        /// Purges may be missing: no copy from before now is to be served until they have settled.
        may_miss_purges: bool,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Batches applied that hold events.
    pub batches: u64,
    /// Batches taken that hold none.
    pub heartbeats: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Snapshots whose purges did not reach back far enough.
    pub incomplete_snapshots: u64,
    /// Deliveries of what was known here already, all or in part.
    pub duplicates: u64,
    /// Batches that follow a later position.
    pub gaps: u64,
    /// Batches of another numbering.
    pub other_numbering: u64,
    /// Answers that the position is not known.
    pub behind: u64,
    /// Snapshots that nobody wants, or that may be older than what is known.
    pub stale: u64,
    /// Deliveries that say what can't be.
    pub invalid: u64,
    /// Deliveries of planners that are not connected.
    pub not_connected: u64,
    /// Times that a planner was left for its silence or its end.
    pub failovers: u64,
    /// Purges of single objects that were applied.
    pub purges: u64,
    /// Events in full that were applied.
    pub events: u64,
}

/// Which planner is followed, and up to where events were applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subscriber {
    cadence: Cadence,
    settles: Span,
    preference: u64,
    planners: Vec<Planner>,
    position: EventPosition,
    /// When the position last moved; none if nothing was ever applied.
    last_moved: Option<Time>,
    /// Nobody can go on from the position: the state as a whole is asked for.
    needs_snapshot: bool,
    followed: Option<PlannerNumber>,
    /// One that is preferred to the one followed, and asked whether it delivers.
    candidate: Option<PlannerNumber>,
    /// Planners left for their silence since the one followed last delivered: each is waited for twice as long as the one
    /// before, as it may only be far away.
    silences: u32,
    /// Since when no planner knew the position.
    behind_since: Option<Time>,
    coordinator_need: CoordinatorNeed,
    confirmed_at: Option<Time>,
    /// Counts since the start.
    pub counters: Counters,
}

impl Subscriber {
    /// A forwarder that has just started and knows nothing; hosts drop by themselves what was purged `settles` ago.
    /// `preference` orders the planners, and differs from forwarder to forwarder so that each planner is preferred by
    /// about as many.
    pub fn start(
        now: Time,
        planners: u32,
        preference: u64,
        cadence: Cadence,
        settles: Span,
    ) -> Subscriber {
        Subscriber {
            cadence,
            settles,
            preference,
            planners: vec![Planner::default(); planners as usize],
            position: EventPosition::NONE,
            last_moved: None,
            needs_snapshot: true,
            followed: None,
            candidate: None,
            silences: 0,
            behind_since: None,
            coordinator_need: CoordinatorNeed::new(now, cadence, preference),
            confirmed_at: None,
            counters: Counters::default(),
        }
    }

    /// The last event that was applied here.
    pub fn position(&self) -> EventPosition {
        self.position
    }

    /// The planner that is followed.
    pub fn followed(&self) -> Option<PlannerNumber> {
        self.followed
    }

    /// When, on this clock, all was last known here that the coordinator had, at the latest.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Whether events have to come from the coordinator itself: no planner has delivered for a short time, none is
    /// connected, or planners have only just begun to deliver again.
    pub fn needs_coordinator(&self, now: Time) -> bool {
        self.coordinator_need.is_needed(now)
    }

    /// A connection with a planner was opened; nothing of an earlier one comes any more.
    pub fn connected(&mut self, now: Time, planner: PlannerNumber) {
        let Some(planner) = self.planners.get_mut(planner.0 as usize) else {
            return;
        };
        planner.connected(now);
        self.choose(now);
    }

    /// The connection has ended.
    pub fn disconnected(&mut self, now: Time, planner: PlannerNumber) {
        let Some(ended) = self.planners.get_mut(planner.0 as usize) else {
            return;
        };
        ended.disconnected();
        if self.candidate == Some(planner) {
            self.candidate = None;
        }
        if self.followed == Some(planner) {
            (self.followed, self.candidate) = (None, None);
            self.counters.failovers += 1;
        }
        if self.connected_planners().next().is_none() {
            self.coordinator_need.disconnected(now);
        }
        self.choose(now);
    }

    /// The position was moved by what the coordinator itself told. The planner learns of it where that matters: when its
    /// next batch does not follow.
    pub fn set_position(&mut self, now: Time, position: EventPosition) {
        self.position = position;
        self.last_moved = Some(now);
        self.needs_snapshot = false;
        self.behind_since = None;
        for planner in &mut self.planners {
            planner.is_behind = false;
        }
    }

    /// The planner had heard what was sent to it at that moment before it wrote what is delivered next. To be called
    /// before each delivery where the connection tells; without it, a delivery is taken to be an answer to the last
    /// request, and not to have been on its way for long.
    pub fn record_echo(&mut self, planner: PlannerNumber, sent: Time) {
        if let Some(planner) = self.planners.get_mut(planner.0 as usize) {
            planner.echoed = Some(sent);
        }
    }

    fn planner(&self, number: PlannerNumber) -> &Planner {
        &self.planners[number.0 as usize]
    }

    fn planner_mut(&mut self, number: PlannerNumber) -> &mut Planner {
        &mut self.planners[number.0 as usize]
    }
}
