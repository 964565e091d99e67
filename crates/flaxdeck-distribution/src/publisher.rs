//! The planner's side of the distribution of events: what each subscriber is told, and when.
//!
//! A subscriber's batches come at its own place in the interval, so that a planner never serves all at one instant;
//! those who share a place and a position share one encoded batch. The caller asks who is [`due`](Publisher::due) and
//! takes an [`update_for`](Publisher::update_for) only for those whose connection can take it. A position moves only
//! then: who reads slowly gets a larger batch later, and nothing is queued for him.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::cadence::Cadence;
use crate::event_log::{Content, EventLog, NotKept, Retention};
use crate::messages::*;

/// Places in the interval between two batches at which subscribers are served.
const SLOTS: u64 = 16;
/// The coordinator speaks each second: past two of its words a connection to it counts as lost.
const COORDINATOR_SILENT: Span = Span::from_ms(2_200);
/// How long a numbering that is no more is remembered: by then its subscribers have been given the state.
const ABANDONED_KEPT: Span = Span::from_ms(60_000);
/// Between two batches to a subscriber that is catching up.
const CATCH_UP_EVERY: Span = Span::from_ms(20);
/// A subscriber that was due and was not served is named again after so long.
const OFFER_AGAIN: Span = Span::from_ms(100);
/// The most batches that are kept encoded.
const MAX_CACHED: usize = 64;

/// A conversation with a forwarder, by the caller's own count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// What was counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub batches: u64,
    /// Batches that were encoded; the others were shared.
    pub encoded: u64,
    pub heartbeats: u64,
    pub snapshots: u64,
    /// Answers that a position is not known here yet, or that no snapshot can be given.
    pub behind: u64,
    /// Times that a subscriber was due and was not served.
    pub passed_over: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Wants {
    EventsAfter(EventPosition),
    Snapshot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    wants: Wants,
    /// It has asked and was not answered yet.
    asked: bool,
    /// When it was last told anything.
    sent: Time,
    /// When it was last named as due without being served since.
    offered: Option<Time>,
    /// The last batch could not hold all.
    catching_up: bool,
}

/// What is sent to several subscribers is encoded once. It holds nothing that could not be made anew, so two publishers
/// are the same whatever is in theirs.
#[derive(Clone, Debug, Default)]
struct Cache {
    batches: Vec<Batch>,
    snapshot: Option<Snapshot>,
}

impl PartialEq for Cache {
    fn eq(&self, _: &Cache) -> bool {
        true
    }
}

impl Eq for Cache {}

impl Hash for Cache {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// The events that a planner knows and the subscribers that follow them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    cadence: Cadence,
    log: EventLog,
    /// What was kept of the numbering before this one, and since when it is no more: whoever stands there has to be given
    /// the state as it is, also where his number has not been reached again.
    abandoned: Option<(Time, EventLog)>,
    members: BTreeMap<SubscriberId, Member>,
    /// When the coordinator was last heard, and whether all is known here that it had to tell.
    coordinator: Option<Time>,
    current: bool,
    /// Nobody is due before.
    next_due: Time,
    cache: Cache,
    pub counters: Counters,
}

impl Publisher {
    /// A planner that has just started, and knows that the coordinator's last event was `base` or something later.
    pub fn start(
        now: Time,
        cadence: Cadence,
        retention: Retention,
        base: EventPosition,
    ) -> Publisher {
        Publisher {
            cadence,
            log: EventLog::start(now, retention, base),
            abandoned: None,
            members: BTreeMap::new(),
            coordinator: None,
            current: false,
            next_due: now,
            cache: Cache::default(),
            counters: Counters::default(),
        }
    }

    /// A forwarder asks for events, or for no more of them; it is answered at once.
    pub fn subscribe(&mut self, now: Time, id: SubscriberId, subscription: Subscription) {
        let wants = match subscription {
            Subscription::None => return self.leave(id),
            Subscription::After(position) => Wants::EventsAfter(position),
            Subscription::FromSnapshot => Wants::Snapshot,
        };
        let member = Member {
            wants,
            asked: true,
            sent: now,
            offered: None,
            catching_up: false,
        };
        self.members.insert(id, member);
        self.next_due = now;
    }

    /// The conversation has ended.
    pub fn leave(&mut self, id: SubscriberId) {
        self.members.remove(&id);
    }

    /// The coordinator has told an event.
    pub fn event(&mut self, now: Time, mark: EventPosition, content: Content) {
        let urgent = content.is_urgent();
        self.log.append(now, mark, content);
        self.cache = Cache::default();
        let step = self.cadence.batch_every * (1.0 / SLOTS as f64);
        let look = if urgent {
            now
        } else {
            next_multiple(now, step, Span::ZERO)
        };
        self.next_due = self.next_due.min(look);
    }

    /// The coordinator's numbering turned out another, or the whole list came in place of what should have followed:
    /// nothing that was told before leads to `base`.
    pub fn renumbered(&mut self, now: Time, base: EventPosition) {
        self.abandoned = Some((now, self.log.clone()));
        self.log.restart(now, base);
        self.cache = Cache::default();
        self.next_due = now;
    }

    /// The coordinator was heard; `current` if all is known here that it had to tell.
    pub fn coordinator_heard(&mut self, now: Time, current: bool) {
        let was_current = self.is_current(now);
        (self.coordinator, self.current) = (Some(now), current);
        if current && !was_current {
            self.next_due = now; // somebody may wait for a snapshot
        }
    }

    /// Whether all is known here that the coordinator has, as far as can be seen.
    pub fn is_current(&self, now: Time) -> bool {
        self.coordinator_ago_ms(now).is_some()
    }

    fn coordinator_ago_ms(&self, now: Time) -> Option<u32> {
        let ago = now.since(self.coordinator.filter(|_| self.current)?);
        (ago < COORDINATOR_SILENT).then_some(ago.ms().ceil() as u32)
    }

    /// Who is to be told something now. Each one that can take it gets an [`update_for`](Publisher::update_for); the
    /// others are named again a little later.
    pub fn due(&mut self, now: Time) -> Vec<SubscriberId> {
        if now < self.next_due {
            return Vec::new();
        }
        self.log.prune(now);
        self.abandoned
            .take_if(|(since, _)| now.since(*since) >= ABANDONED_KEPT);
        let mut due = Vec::new();
        let mut next_due = Time::NEVER;
        for (id, member) in &self.members {
            let at = self.due_at(now, *id, member);
            if at <= now {
                due.push(*id);
            }
            next_due = next_due.min(if at <= now { now + OFFER_AGAIN } else { at });
        }
        for id in &due {
            let offered = self
                .members
                .get_mut(id)
                .and_then(|member| member.offered.replace(now));
            self.counters.passed_over += u64::from(offered.is_some());
        }
        self.next_due = next_due;
        due
    }

    /// When somebody is due next; it may be that nobody is by then.
    pub fn next_due(&self) -> Option<Time> {
        Some(self.next_due).filter(|_| !self.members.is_empty())
    }

    fn due_at(&self, now: Time, id: SubscriberId, member: &Member) -> Time {
        let due = if member.asked {
            member.sent
        } else {
            self.next_message(now, id, member)
        };
        member
            .offered
            .map_or(due, |offered| due.max(offered + OFFER_AGAIN))
    }

    fn next_message(&self, now: Time, id: SubscriberId, member: &Member) -> Time {
        let heartbeat = member.sent + self.cadence.heartbeat;
        let kept = match member.wants {
            Wants::EventsAfter(position) => self.follows(position).map(|()| position),
            Wants::Snapshot => Err(NotKept::Unknown),
        };
        match kept {
            Ok(position) => heartbeat.min(self.next_batch(id, member, position)),
            Err(NotKept::Unknown) if self.is_current(now) => {
                member.sent + self.cadence.urgent_after
            }
            Err(_) => heartbeat,
        }
    }

    fn next_batch(&self, id: SubscriberId, member: &Member, position: EventPosition) -> Time {
        let Some(came) = self.log.next_after(position) else {
            return Time::NEVER;
        };
        if member.catching_up {
            return member.sent + CATCH_UP_EVERY;
        }
        let Cadence {
            batch_every,
            urgent_after,
            ..
        } = self.cadence;
        let place = place_of(id);
        // A batch soon after another one would cost a message and hasten little.
        let from = came.max(member.sent + batch_every * 0.5);
        let batch = next_multiple(from, batch_every, batch_every * place);
        let urgent = self.log.next_urgent_after(position);
        let urgent =
            urgent.map(|came| (came + urgent_after * place).max(member.sent + urgent_after));
        batch.min(urgent.unwrap_or(Time::NEVER))
    }

    /// What a subscriber is told, which moves its position; none if it has not subscribed. `list` gives the frame that
    /// tells the whole list of hosts under a number.
    pub fn update_for(
        &mut self,
        now: Time,
        id: SubscriberId,
        list: &mut dyn FnMut(u64) -> Vec<u8>,
    ) -> Option<Delivery> {
        let wants = self.members.get(&id)?.wants;
        let update = match wants {
            Wants::EventsAfter(position) => match self.batch_after(position) {
                Ok(batch) => Update::Batch(batch),
                Err(NotKept::Ahead) => self.behind(),
                Err(NotKept::Unknown) => self.snapshot(now, list),
            },
            Wants::Snapshot => self.snapshot(now, list),
        };
        let position = match &update {
            Update::Batch(batch) => Some(batch.upto),
            Update::Snapshot(snapshot) => Some(snapshot.upto),
            Update::Behind { .. } => None,
        };
        // Who lacks what this planner knows does not have all that the coordinator has.
        let complete = position == Some(self.log.last());
        let coordinator_ago_ms = self.coordinator_ago_ms(now).filter(|_| complete);
        let member = self.members.get_mut(&id)?;
        member.wants = position.map_or(wants, Wants::EventsAfter);
        (member.asked, member.sent, member.offered) = (false, now, None);
        member.catching_up = position.is_some() && !complete;
        let next = if member.catching_up {
            now + CATCH_UP_EVERY
        } else {
            now + self.cadence.urgent_after
        };
        self.next_due = self.next_due.min(next);
        Some(Delivery {
            update,
            coordinator_ago_ms,
        })
    }

    /// Whether a position is known here, and of which numbering.
    fn follows(&self, position: EventPosition) -> Result<(), NotKept> {
        let follows = self.log.follows(position);
        let abandoned = |log: &EventLog| log.follows(position).is_ok();
        match follows {
            Err(NotKept::Ahead)
                if self
                    .abandoned
                    .as_ref()
                    .is_some_and(|(_, log)| abandoned(log)) =>
            {
                Err(NotKept::Unknown)
            }
            follows => follows,
        }
    }

    fn batch_after(&mut self, position: EventPosition) -> Result<Batch, NotKept> {
        let cached = self
            .cache
            .batches
            .iter()
            .find(|batch| batch.after == position);
        let batch = match cached {
            Some(batch) => batch.clone(),
            None => self.encode_after(position)?,
        };
        let counters = &mut self.counters;
        *if batch.upto == batch.after {
            &mut counters.heartbeats
        } else {
            &mut counters.batches
        } += 1;
        Ok(batch)
    }

    fn encode_after(&mut self, position: EventPosition) -> Result<Batch, NotKept> {
        self.follows(position)?;
        let batch = self.log.batch_after(position)?;
        if batch.upto != batch.after {
            self.counters.encoded += 1;
            self.cache.batches.truncate(MAX_CACHED - 1);
            self.cache.batches.insert(0, batch.clone());
        }
        Ok(batch)
    }

    fn behind(&mut self) -> Update {
        self.counters.behind += 1;
        Update::Behind {
            upto: self.log.last(),
        }
    }

    /// The state, given only by who knows all that the coordinator has. A planner that has lost the coordinator may
    /// hold an older list than the subscriber, and would bring a withdrawn host back by it.
    fn snapshot(&mut self, now: Time, list: &mut dyn FnMut(u64) -> Vec<u8>) -> Update {
        if !self.is_current(now) {
            return self.behind();
        }
        self.counters.snapshots += 1;
        let upto = self.log.last();
        if self.cache.snapshot.is_none() {
            self.cache.snapshot = Some(self.take_snapshot(now, list(upto.number)));
        }
        self.cache
            .snapshot
            .clone()
            .map_or(Update::Behind { upto }, |snapshot| {
                Update::Snapshot(Box::new(snapshot))
            })
    }

    fn take_snapshot(&self, now: Time, list: Vec<u8>) -> Snapshot {
        let kept = self
            .log
            .purges_since(now, MAX_FULL_BYTES.saturating_sub(list.len()));
        Snapshot {
            upto: self.log.last(),
            list,
            purges: PurgeDigest::encode(kept.objects),
            group_purges: kept.groups,
            purges_reach_ms: kept.reach.ms().min(f64::from(u32::MAX)) as u32,
        }
    }

    /// Subscribers, and entries and bytes of events kept.
    pub fn size(&self) -> (usize, usize, usize) {
        let (entries, bytes) = self.log.size();
        (self.members.len(), entries, bytes)
    }

    /// The events kept.
    pub fn log(&self) -> &EventLog {
        &self.log
    }
}

/// A subscriber's place in the interval, from 0 to below 1: ids that follow each other are spread evenly.
fn place_of(id: SubscriberId) -> f64 {
    /// 2^64 over the golden ratio.
    const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
    let slot = id.0.wrapping_mul(GOLDEN) / (u64::MAX / SLOTS + 1);
    slot as f64 / SLOTS as f64
}

/// The first moment not before `from` that is `offset` after a multiple of `interval`.
fn next_multiple(from: Time, interval: Span, offset: Span) -> Time {
    let (from, interval, offset) = (from.ms(), interval.ms().max(1.0), offset.ms());
    let intervals = ((from - offset) / interval).ceil().max(0.0);
    Time::at_ms(intervals * interval + offset)
}
