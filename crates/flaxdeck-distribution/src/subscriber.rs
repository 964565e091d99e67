//! The forwarder's side of the distribution of events: which planner it follows, and what of the planners' messages is
//! applied.
//!
//! The position is the last event that was applied here. It moves only by what follows from it:
//!
//! - A batch applies if it begins at the position, to the hash, and its counts add up to its numbers. So no event is
//!   skipped and none is applied out of order, whatever is lost, doubled or late.
//! - Where that can't be, the position is told to the planner anew. A planner that does not keep it gives a snapshot,
//!   and the snapshot says how far back its purges reach; unless that covers the time in which hosts drop purged copies
//!   by themselves, all copies from before are in doubt.
//! - A snapshot replaces the list of hosts, so an older one could bring a withdrawn host back. Planners give them only
//!   while they have all that the coordinator has, and here one is taken only if its planner has heard the coordinator
//!   since the position last moved: then it knows all that was applied here, in whatever numbering.

mod checks;
mod coordinator_need;

use flaxdeck::hash::mix;
use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::cadence::Cadence;
use crate::digest::InvalidDigest;
use crate::fingerprint::Fingerprint;
use crate::messages::*;
use checks::{check_batch, check_snapshot};
use coordinator_need::CoordinatorNeed;

/// What was asked and not answered, or answered by what could not be taken, is asked again after so long.
const ASK_AGAIN: Span = Span::from_ms(500);
/// Between two questions to a planner whose batches do not follow the position.
const RESYNC: Span = Span::from_ms(100);
/// An event of the coordinator's comes to one instance later than to another by at most this.
const COORDINATOR_SKEW: Span = Span::from_ms(200);
/// Without a planner that knows the position for so long, the numbering is taken to be another.
const MAX_BEHIND: Span = Span::from_ms(3_000);
/// A planner that was preferred is followed again only once it has been connected for so long.
const STEADY: Span = Span::from_ms(5_000);
/// One that was left for its silence is left alone for that long, twice as long each further time, up to this many
/// doublings.
const MAX_DOUBLINGS: u32 = 5;
/// Beyond the hosts' time a snapshot's purges have to reach back so far: for clocks that run apart.
const REACH_MARGIN: Span = Span::from_ms(500);
/// A message is taken to have been written no longer ago than this, unless its conversation proves more.
const WRITTEN_AGO: Span = Span::from_ms(500);

/// A planner's place in the operator's file, the same in every forwarder's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerNumber(pub u32);

/// What a delivery changes here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Applied {
    Nothing,
    /// All that follows the position, up to another.
    Events {
        purges: Vec<Fingerprint>,
        events: Vec<FullEvent>,
        upto: EventPosition,
    },
    /// The state at a position, in place of what was known.
    Snapshot {
        list: Vec<u8>,
        purges: Vec<Fingerprint>,
        group_purges: Vec<FullEvent>,
        upto: EventPosition,
        /// Purges may have been missed: no copy from before now is to be handed out until they have settled.
        copies_in_doubt: bool,
    },
}

/// Why nothing of a delivery was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refused {
    /// Its planner is not connected.
    NotConnected,
    /// It says what can't be.
    Invalid(Invalid),
    /// It follows a later position than the one here.
    Gap,
    /// Another event bears the number of the one here.
    OtherNumbering,
    /// A snapshot that nobody wants, or that may be older than what is known.
    Stale,
}

/// What can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invalid {
    Digest(InvalidDigest),
    /// More events in full than a message may hold.
    TooManyEvents,
    /// More bytes of events in full than a message may hold.
    TooLong,
    /// Its end is before its beginning, or another event with the same number.
    Range,
    /// It does not hold as many events as it has numbers.
    Count,
    /// Its events are out of order, out of its range, or do not end with its end.
    Marks,
    /// A snapshot of a planner that does not claim to know all.
    NotCurrent,
}

/// What was counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub batches: u64,
    pub heartbeats: u64,
    pub snapshots: u64,
    /// Snapshots whose purges did not reach back far enough.
    pub doubts: u64,
    /// Deliveries of what was known here already, all or in part.
    pub duplicates: u64,
    pub gaps: u64,
    pub other_numbering: u64,
    pub behind: u64,
    pub stale: u64,
    pub invalid: u64,
    /// Deliveries of planners that are not connected.
    pub not_connected: u64,
    /// Times that a planner was left for its silence or its end.
    pub failovers: u64,
    /// Purges and events in full that were applied.
    pub purges: u64,
    pub events: u64,
}

/// What was last asked of a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    subscription: Subscription,
    /// When it was first asked, and last.
    first: Time,
    last: Time,
    answered: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Planner {
    connected: Option<Time>,
    asked: Option<Asked>,
    /// Since when events are wanted of it.
    wanted_since: Option<Time>,
    /// From when on it has to be told anew what is wanted.
    ask_again: Option<Time>,
    /// When it last delivered what was of use.
    delivered: Option<Time>,
    /// It has said that it does not know the position since anything was applied.
    behind: bool,
    avoided_until: Time,
    /// How often it was left for its silence without having been steady since.
    failures: u32,
    /// It had heard what was sent to it at that moment before it wrote what it delivers.
    echoed: Option<Time>,
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
    moved: Option<Time>,
    /// Nobody can go on from the position: the state as a whole is asked for.
    from_snapshot: bool,
    followed: Option<PlannerNumber>,
    /// One that is preferred to the one followed, and asked whether it delivers.
    candidate: Option<PlannerNumber>,
    /// Planners left for their silence since the one followed last delivered: each is waited for twice as long as the one
    /// before, as it may only be far away.
    silences: u32,
    /// Since when no planner knew the position.
    behind_since: Option<Time>,
    need: CoordinatorNeed,
    vouched: Option<Time>,
    pub counters: Counters,
}

impl Subscriber {
    /// A forwarder that has just started and knows nothing; `preference` orders the planners, and differs from
    /// forwarder to forwarder so that each planner is preferred by about as many.
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
            planners: (0..planners).map(|_| Planner::default()).collect(),
            position: EventPosition::NONE,
            moved: None,
            from_snapshot: true,
            followed: None,
            candidate: None,
            silences: 0,
            behind_since: None,
            need: CoordinatorNeed::new(now, cadence, preference),
            vouched: None,
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
    pub fn vouched(&self) -> Option<Time> {
        self.vouched
    }

    /// A conversation with a planner has begun; nothing of an earlier one comes any more.
    pub fn connected(&mut self, now: Time, planner: PlannerNumber) {
        let Some(planner) = self.planners.get_mut(planner.0 as usize) else {
            return;
        };
        (planner.connected, planner.asked, planner.echoed) = (Some(now), None, None);
        (planner.ask_again, planner.behind, planner.delivered) = (None, false, None);
        planner.wanted_since = None;
        self.choose(now);
    }

    /// The conversation has ended.
    pub fn disconnected(&mut self, now: Time, planner: PlannerNumber) {
        let Some(ended) = self.planners.get_mut(planner.0 as usize) else {
            return;
        };
        (ended.connected, ended.asked, ended.wanted_since) = (None, None, None);
        if self.candidate == Some(planner) {
            self.candidate = None;
        }
        if self.followed == Some(planner) {
            (self.followed, self.candidate) = (None, None);
            self.counters.failovers += 1;
        }
        if self.connected_planners().next().is_none() {
            self.need.unconnected(now);
        }
        self.choose(now);
    }

    /// The position was moved by what the coordinator itself told. Its planner learns of it where that matters: when
    /// its next batch does not follow.
    pub fn moved(&mut self, now: Time, position: EventPosition) {
        self.move_to(now, position);
    }

    /// The planner had heard what was sent to it at that moment before it wrote what is delivered next. To be called
    /// before each delivery where the conversation tells; without it, a delivery is taken to be an answer to the last
    /// question, and not to have been on its way for long.
    pub fn echoed(&mut self, planner: PlannerNumber, sent: Time) {
        if let Some(planner) = self.planners.get_mut(planner.0 as usize) {
            planner.echoed = Some(sent);
        }
    }

    fn move_to(&mut self, now: Time, position: EventPosition) {
        (self.position, self.moved) = (position, Some(now));
        (self.from_snapshot, self.behind_since) = (false, None);
        self.planners
            .iter_mut()
            .for_each(|planner| planner.behind = false);
    }

    /// Takes in what a planner has delivered, wholly or not at all.
    pub fn delivered(
        &mut self,
        now: Time,
        from: PlannerNumber,
        delivery: Delivery,
    ) -> Result<Applied, Refused> {
        let known = self
            .planners
            .get_mut(from.0 as usize)
            .filter(|planner| planner.connected.is_some());
        let Some(planner) = known else {
            self.counters.not_connected += 1;
            return Err(Refused::NotConnected);
        };
        let mut unwanted = true;
        if let Some(asked) = &mut planner.asked {
            asked.answered = true;
            unwanted = asked.subscription == Subscription::None;
        }
        if unwanted {
            self.ask_again(from, now + ASK_AGAIN);
        }
        let ago = delivery.coordinator_ago_ms;
        let result = match delivery.update {
            Update::Batch(batch) => self.batch(now, from, batch, ago),
            Update::Snapshot(snapshot) => self.snapshot(now, from, *snapshot, ago),
            Update::Behind { .. } => {
                self.behind(now, from);
                Ok(Applied::Nothing)
            }
        };
        if let Err(refused) = result {
            self.refused(now, from, refused);
        }
        self.choose(now);
        result
    }

    fn refused(&mut self, now: Time, from: PlannerNumber, refused: Refused) {
        let counters = &mut self.counters;
        let (count, again) = match refused {
            Refused::Gap => (&mut counters.gaps, RESYNC),
            Refused::OtherNumbering => (&mut counters.other_numbering, RESYNC),
            Refused::Stale => (&mut counters.stale, RESYNC),
            Refused::Invalid(_) => (&mut counters.invalid, ASK_AGAIN),
            Refused::NotConnected => (&mut counters.not_connected, ASK_AGAIN),
        };
        *count += 1;
        self.ask_again(from, now + again);
    }

    fn ask_again(&mut self, from: PlannerNumber, at: Time) {
        self.planners[from.0 as usize].ask_again.get_or_insert(at);
    }

    fn batch(
        &mut self,
        now: Time,
        from: PlannerNumber,
        batch: Batch,
        ago: Option<u32>,
    ) -> Result<Applied, Refused> {
        let purges = check_batch(&batch).map_err(Refused::Invalid)?;
        let Batch {
            after,
            upto,
            events,
            ..
        } = batch;
        if after == self.position {
            let applied = self.follow(now, purges, events, upto);
            self.planners[from.0 as usize].ask_again = None;
            // Nothing new from a planner that has lost the coordinator says nothing.
            if applied != Applied::Nothing || ago.is_some() {
                self.delivers(now, from);
            }
            self.vouch(now, from, ago);
            return Ok(applied);
        }
        let same_number =
            |mark: EventPosition| mark.number == self.position.number && mark != self.position;
        if same_number(after) || same_number(upto) {
            return Err(Refused::OtherNumbering);
        }
        if after.number > self.position.number {
            return Err(Refused::Gap);
        }
        self.known_already(now, from, upto, ago);
        Ok(Applied::Nothing)
    }

    /// A batch that begins and ends where it should. The position moves last, once all is ready to be handed out.
    fn follow(
        &mut self,
        now: Time,
        purges: Vec<Fingerprint>,
        events: Vec<FullEvent>,
        upto: EventPosition,
    ) -> Applied {
        if upto == self.position {
            self.counters.heartbeats += 1;
            return Applied::Nothing;
        }
        self.counters.batches += 1;
        self.counters.purges += purges.len() as u64;
        self.counters.events += events.len() as u64;
        self.move_to(now, upto);
        Applied::Events {
            purges,
            events,
            upto,
        }
    }

    /// The coordinator itself, or another planner, was faster. What of it is new can't be told apart, as the purges
    /// bear no numbers; the planner is told the position, and goes on from there.
    fn known_already(
        &mut self,
        now: Time,
        from: PlannerNumber,
        upto: EventPosition,
        ago: Option<u32>,
    ) {
        self.counters.duplicates += 1;
        if ago.is_some() {
            self.delivers(now, from);
        }
        if upto == self.position {
            self.vouch(now, from, ago);
        } else {
            self.ask_again(from, now + RESYNC);
        }
    }

    fn snapshot(
        &mut self,
        now: Time,
        from: PlannerNumber,
        snapshot: Snapshot,
        ago: Option<u32>,
    ) -> Result<Applied, Refused> {
        let purges = check_snapshot(&snapshot).map_err(Refused::Invalid)?;
        let ago_ms = ago.ok_or(Refused::Invalid(Invalid::NotCurrent))?;
        let known_at = self.known_at(from, ago_ms).ok_or(Refused::Stale)?;
        let newer = self
            .moved
            .is_none_or(|moved| known_at > moved + COORDINATOR_SKEW);
        if !newer {
            return Err(Refused::Stale);
        }
        if snapshot.upto.number < self.position.number && !self.from_snapshot {
            // It knows all that the coordinator has, and that is less: the numbering is another. It is asked for.
            self.from_snapshot = true;
            return Err(Refused::Stale);
        }
        let Snapshot {
            upto,
            list,
            group_purges,
            purges_reach_ms,
            ..
        } = snapshot;
        let reach = Span::from_ms(u64::from(purges_reach_ms));
        // The snapshot was written before it came, so what reaches back for that time from then reaches back further
        // from now, and all that came to the planner later comes by batches.
        let copies_in_doubt = reach < self.settles + REACH_MARGIN;
        self.counters.snapshots += 1;
        self.counters.doubts += u64::from(copies_in_doubt);
        self.move_to(now, upto);
        self.delivers(now, from);
        self.vouch(now, from, ago);
        Ok(Applied::Snapshot {
            list,
            purges,
            group_purges,
            upto,
            copies_in_doubt,
        })
    }

    /// A moment up to which the planner had heard the coordinator when it answered: it wrote after it was asked.
    fn known_at(&self, from: PlannerNumber, ago_ms: u32) -> Option<Time> {
        let planner = &self.planners[from.0 as usize];
        let asked = planner
            .asked
            .filter(|asked| asked.subscription != Subscription::None)?;
        let written = planner.echoed.unwrap_or(asked.first);
        Some(written - Span::from_ms(u64::from(ago_ms)))
    }

    fn behind(&mut self, now: Time, from: PlannerNumber) {
        self.counters.behind += 1;
        self.planners[from.0 as usize].behind = true;
        self.behind_since.get_or_insert(now);
    }

    /// A planner has delivered what was of use.
    fn delivers(&mut self, now: Time, from: PlannerNumber) {
        self.need.delivered(now);
        let planner = &mut self.planners[from.0 as usize];
        planner.delivered = Some(now);
        if planner
            .connected
            .is_some_and(|connected| now.since(connected) >= STEADY)
            && now >= planner.avoided_until
        {
            planner.failures = 0;
        }
        if self.candidate == Some(from) {
            (self.followed, self.candidate) = (Some(from), None);
        }
        if self.followed == Some(from) {
            self.silences = 0;
        }
    }

    /// All is known here that the planner knew, and it knew all that the coordinator had so long ago.
    fn vouch(&mut self, now: Time, from: PlannerNumber, ago: Option<u32>) {
        let Some(ago_ms) = ago else { return };
        let echoed = self.planners[from.0 as usize].echoed;
        let written = echoed.map_or(now - WRITTEN_AGO, |echoed| echoed.min(now));
        self.vouched = self
            .vouched
            .max(Some(written - Span::from_ms(u64::from(ago_ms))));
    }

    /// What is to be sent now. It has to be sent: a connection that can't take it has ended.
    pub fn actions(&mut self, now: Time) -> Vec<(PlannerNumber, Subscription)> {
        self.choose(now);
        let mut actions = Vec::new();
        for number in (0..self.planners.len() as u32).map(PlannerNumber) {
            let wanted = self.wanted_of(number);
            let planner = &mut self.planners[number.0 as usize];
            if planner.connected.is_none() || !is_to_be_asked(now, planner, wanted) {
                continue;
            }
            // A question that is only repeated may be answered by what was written after the first time.
            let waits = |asked: &Asked| !asked.answered && same_kind(asked.subscription, wanted);
            let first = planner.asked.filter(waits).map_or(now, |asked| asked.first);
            planner.asked = Some(Asked {
                subscription: wanted,
                first,
                last: now,
                answered: false,
            });
            let since = planner.wanted_since.unwrap_or(now);
            planner.wanted_since = (wanted != Subscription::None).then_some(since);
            planner.ask_again = None;
            actions.push((number, wanted));
        }
        actions
    }

    fn wanted_of(&self, number: PlannerNumber) -> Subscription {
        if self.followed != Some(number) && self.candidate != Some(number) {
            return Subscription::None;
        }
        if self.from_snapshot {
            Subscription::FromSnapshot
        } else {
            Subscription::After(self.position)
        }
    }

    /// When [`actions`](Subscriber::actions) or [`needs_coordinator`](Subscriber::needs_coordinator) may say something
    /// else, if nothing comes until then.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let behind = self.behind_since.map(|since| since + MAX_BEHIND);
        let asked = |planner: &Planner| planner.asked.map(|asked| asked.last + ASK_AGAIN);
        let steady = |planner: &Planner| planner.connected.map(|connected| connected + STEADY);
        let planners = self.planners.iter().flat_map(|planner| {
            [
                asked(planner),
                planner.ask_again,
                steady(planner),
                self.silent_at(planner),
                Some(planner.avoided_until),
            ]
        });
        let all = planners
            .chain([behind])
            .flatten()
            .chain(self.need.changes_at());
        all.filter(|at| *at > now).min()
    }

    /// Whether events have to come from the coordinator itself: no planner has delivered for a short time, none is
    /// connected, or planners have only just begun to deliver again.
    pub fn needs_coordinator(&self, now: Time) -> bool {
        self.need.is_needed(now)
    }

    /// When a planner that was asked counts as silent if it delivers nothing of use.
    fn silent_at(&self, planner: &Planner) -> Option<Time> {
        let since = planner.wanted_since?;
        let from = planner
            .delivered
            .map_or(since, |delivered| delivered.max(since));
        Some(
            from + self.cadence.silent_after()
                * f64::from(1_u32 << self.silences.min(MAX_DOUBLINGS)),
        )
    }

    fn is_silent(&self, now: Time, number: PlannerNumber) -> bool {
        let planner = &self.planners[number.0 as usize];
        self.silent_at(planner).is_some_and(|at| now >= at)
    }

    /// Whom to follow, and whether from the position.
    fn choose(&mut self, now: Time) {
        if let Some(candidate) = self
            .candidate
            .filter(|candidate| self.is_silent(now, *candidate))
        {
            self.avoid(now, candidate);
            self.candidate = None;
        }
        if let Some(followed) = self
            .followed
            .filter(|followed| self.is_silent(now, *followed))
        {
            self.leave_silent(now, followed);
        }
        if self.followed.is_none() {
            (self.followed, self.candidate) = (self.first_connected(now), None);
        }
        if self.candidate.is_none() {
            self.candidate = self.preferred_to_followed(now);
        }
        self.give_position_up(now);
    }

    /// Another one is asked, if there is any.
    fn leave_silent(&mut self, now: Time, followed: PlannerNumber) {
        if now >= self.planners[followed.0 as usize].avoided_until {
            self.avoid(now, followed);
        }
        let other = self
            .candidate
            .or(self.first_connected(now))
            .filter(|other| *other != followed);
        if other.is_some() {
            self.counters.failovers += 1;
            self.silences += 1;
            (self.followed, self.candidate) = (other, None);
        }
    }

    fn avoid(&mut self, now: Time, number: PlannerNumber) {
        let planner = &mut self.planners[number.0 as usize];
        let doublings = planner.failures.min(MAX_DOUBLINGS);
        planner.avoided_until = now + STEADY * f64::from(1_u32 << doublings);
        planner.failures += 1;
    }

    /// The first of those connected in the order of preference; those left for their silence come last.
    fn first_connected(&self, now: Time) -> Option<PlannerNumber> {
        let rank = |number: &PlannerNumber| {
            let avoided = self.planners[number.0 as usize].avoided_until.max(now);
            (std::cmp::Reverse(avoided), self.draw(*number))
        };
        self.connected_planners().max_by_key(rank)
    }

    fn preferred_to_followed(&self, now: Time) -> Option<PlannerNumber> {
        let followed = self.followed?;
        let steady = |number: &PlannerNumber| {
            let planner = &self.planners[number.0 as usize];
            let connected = planner
                .connected
                .is_some_and(|connected| now.since(connected) >= STEADY);
            connected && now >= planner.avoided_until
        };
        let better = self
            .connected_planners()
            .filter(|number| self.draw(*number) > self.draw(followed));
        better
            .filter(steady)
            .max_by_key(|number| self.draw(*number))
    }

    fn connected_planners(&self) -> impl Iterator<Item = PlannerNumber> {
        let connected = self
            .planners
            .iter()
            .enumerate()
            .filter(|(_, planner)| planner.connected.is_some());
        connected.map(|(number, _)| PlannerNumber(number as u32))
    }

    /// Rendezvous hashing: each forwarder orders the planners in its own way, and no planner's coming or going changes
    /// the order of the others.
    fn draw(&self, number: PlannerNumber) -> u64 {
        mix(self.preference ^ mix(u64::from(number.0) + 1))
    }

    /// No planner that could be asked has known the position for long: the numbering is another. What was missed since
    /// is in doubt, by the snapshot's reach.
    fn give_position_up(&mut self, now: Time) {
        let long = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_BEHIND);
        let all = self
            .connected_planners()
            .all(|number| self.planners[number.0 as usize].behind);
        if long && all && self.followed.is_some() {
            self.from_snapshot = true;
        }
    }
}

fn is_to_be_asked(now: Time, planner: &Planner, wanted: Subscription) -> bool {
    let Some(asked) = planner.asked else {
        return wanted != Subscription::None;
    };
    let again = planner.ask_again.is_some_and(|at| now >= at);
    let unanswered =
        wanted != Subscription::None && !asked.answered && now.since(asked.last) >= ASK_AGAIN;
    !same_kind(asked.subscription, wanted) || again || unanswered
}

/// A planner that is followed moves its own note of the position.
fn same_kind(one: Subscription, other: Subscription) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}
