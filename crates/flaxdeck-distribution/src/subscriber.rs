//! The forwarder's side of event distribution: which planner it follows, and which of the planners' deliveries it
//! applies.
//!
//! The position is that of the last event applied. Deliveries change it under these rules:
//!
//! - A batch applies if it begins exactly at the position, including the hash, and contains as many events as its range
//!   has numbers. So no event is skipped or applied out of order, whatever is lost, duplicated or delayed.
//! - Otherwise the position is sent to the planner again. A planner that no longer retains it sends a snapshot, which
//!   says how far back its purges are complete. Unless that covers the time within which hosts drop purged copies
//!   themselves, purges may be missing, and no older copy may be served.
//! - A snapshot replaces the list of hosts, so an older one could return a removed host to service. Planners send
//!   snapshots only while they have all of the coordinator's events. A forwarder accepts one only if its planner has
//!   received a message from the coordinator since the forwarder's position last changed: then the planner has all
//!   events applied here, in whichever numbering.

mod checks;
mod coordinator_need;
mod deliveries;
mod error;
mod planner;
mod requests;
mod selection;

use flaxdeck::{CaughtUpAt, CompleteAsOf, Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::cadence::Cadence;
use crate::fingerprint::Fingerprint;
use crate::messages::FullEvent;
use coordinator_need::CoordinatorNeed;
pub use error::{DeliveryError, InvalidDelivery};
use planner::Planner;

/// The index of a planner in the operator's configuration file, which is the same for all forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerNumber(pub u32);

/// What the caller has to apply from a delivery.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Applied {
    /// The delivery contains nothing to apply.
    Nothing,
    /// All events after the position, up to another.
    Events {
        /// Single objects that were purged.
        purges: Vec<Fingerprint>,
        /// All other events in full, in order.
        events: Vec<FullEvent>,
        /// The new position.
        last: EventPosition,
    },
    /// The complete state at a position, which replaces the previous state.
    Snapshot {
        /// The frame with the full list of hosts.
        list: Vec<u8>,
        /// Single objects that were purged.
        purges: Vec<Fingerprint>,
        /// Purges of groups, in full.
        group_purges: Vec<FullEvent>,
        /// The new position.
        position: EventPosition,
        /// Purges may be missing: no copy older than now may be served until they have settled.
        may_miss_purges: bool,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Batches applied that contain events.
    pub batches: u64,
    /// Batches accepted that contain no events.
    pub heartbeats: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Snapshots applied whose purges did not reach back far enough.
    pub incomplete_snapshots: u64,
    /// Batches skipped because all or some of their events had been applied already.
    pub duplicates: u64,
    /// Batches that begin after the position and leave a gap.
    pub gaps: u64,
    /// Batches of another numbering: an event number equals that of the position here, but the hash differs.
    pub other_numbering: u64,
    /// Answers that the planner cannot serve the position yet.
    pub behind: u64,
    /// Snapshots of planners that were not asked for events, or that may be older than the state here.
    pub stale: u64,
    /// Deliveries that are malformed or contradict themselves.
    pub invalid: u64,
    /// Deliveries of planners that are not connected.
    pub not_connected: u64,
    /// Times that the followed planner was replaced because it was silent or disconnected.
    pub failovers: u64,
    /// Purges of single objects that were applied.
    pub purges: u64,
    /// Events in full that were applied.
    pub events: u64,
}

/// The state of a forwarder's subscription: the planners, the one that is followed, and the position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subscriber {
    cadence: Cadence,
    settle_time: Span,
    preference: u64,
    planners: Vec<Planner>,
    position: EventPosition,
    /// When the position last changed; `None` if nothing was ever applied.
    position_changed_at: Option<Time>,
    /// No planner can continue from the position: a snapshot is requested.
    needs_snapshot: bool,
    followed: Option<PlannerNumber>,
    /// A planner preferred to the followed one, which has been sent a request to find out whether it delivers.
    candidate: Option<PlannerNumber>,
    /// Planners replaced because of silence since the followed one last delivered. Each one doubles the silence timeout
    /// of the next, as the planners may only be far away.
    silent_failovers: u32,
    /// When a planner first answered that it does not know the position, since the position last changed.
    behind_since: Option<Time>,
    coordinator_need: CoordinatorNeed,
    caught_up_at: Option<CaughtUpAt>,
    complete_as_of: Option<CompleteAsOf>,
    /// Counts since the start.
    pub counters: Counters,
}

impl Subscriber {
    /// Creates the subscriber of a forwarder that has just started and has no state. Hosts drop purged copies
    /// themselves within `settle_time`. `preference` determines the order in which planners are preferred; it differs
    /// between forwarders, so that each planner is preferred by about as many.
    pub fn start(
        now: Time,
        planners: u32,
        preference: u64,
        cadence: Cadence,
        settle_time: Span,
    ) -> Subscriber {
        Subscriber {
            cadence,
            settle_time,
            preference,
            planners: vec![Planner::default(); planners as usize],
            position: EventPosition::NONE,
            position_changed_at: None,
            needs_snapshot: true,
            followed: None,
            candidate: None,
            silent_failovers: 0,
            behind_since: None,
            coordinator_need: CoordinatorNeed::new(now, cadence, preference, planners),
            caught_up_at: None,
            complete_as_of: None,
            counters: Counters::default(),
        }
    }

    /// Returns the position of the last event applied.
    pub fn position(&self) -> EventPosition {
        self.position
    }

    /// Returns the planner that is followed.
    pub fn followed(&self) -> Option<PlannerNumber> {
        self.followed
    }

    /// Returns the latest time, by the local clock, at which this forwarder stood at the last event of a planner to
    /// which no further event seemed to be on its way; `None` if there is none.
    pub fn caught_up_at(&self) -> Option<CaughtUpAt> {
        self.caught_up_at
    }

    /// Returns the latest time, by the local clock, as of which it is certain that all of the coordinator's events have
    /// been applied here; `None` if there is none.
    pub fn complete_as_of(&self) -> Option<CompleteAsOf> {
        self.complete_as_of
    }

    /// Returns whether events have to be received directly from the coordinator: no planner has delivered for a short
    /// time, none is connected, or planners have only just resumed delivery.
    pub fn needs_coordinator(&self, now: Time) -> bool {
        self.coordinator_need.is_needed(now)
    }

    /// Records that a connection with a planner was opened. Nothing from an earlier connection may be passed in after
    /// this.
    pub fn connected(&mut self, now: Time, planner: PlannerNumber) {
        let Some(planner) = self.planners.get_mut(planner.0 as usize) else {
            return;
        };
        planner.connected(now);
        self.select_planner(now);
    }

    /// Records that the connection with a planner has ended.
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
        self.select_planner(now);
    }

    /// Sets the position after events from the coordinator itself were applied. The planner is notified only if
    /// necessary: when its next batch does not follow the position.
    pub fn set_position(&mut self, now: Time, position: EventPosition) {
        self.position = position;
        self.position_changed_at = Some(now);
        self.needs_snapshot = false;
        self.behind_since = None;
        for planner in &mut self.planners {
            planner.is_behind = false;
        }
    }

    /// Records that the planner, before it wrote its next delivery, had received the message that was sent to it at
    /// `sent`. To be called before each delivery if the connection provides this; without it, a delivery is assumed to
    /// answer the last request and to have been in transit for at most half a second.
    pub fn record_echo(&mut self, planner: PlannerNumber, sent: Time) {
        if let Some(planner) = self.planners.get_mut(planner.0 as usize) {
            planner.echoed_send_time = Some(sent);
        }
    }

    fn planner(&self, number: PlannerNumber) -> &Planner {
        &self.planners[number.0 as usize]
    }

    fn planner_mut(&mut self, number: PlannerNumber) -> &mut Planner {
        &mut self.planners[number.0 as usize]
    }
}
