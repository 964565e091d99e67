//! Content of a planner's guidance: ratings that changed, and events to relay.

use flaxdeck::Time;

use super::{Planner, REPUBLISH_AFTER};
use crate::COORDINATOR_TIMEOUT;
use crate::messages::{
    Envelope, Epoch, Guidance, MAX_RATINGS, MAX_ROUTINE_RATINGS, Rating, Sample, Stamp, ceil_ms,
};

/// Ratings to send, and the version that the forwarder has once it received them.
struct ChangedRatings {
    version: u64,
    ratings: Vec<Rating>,
}

impl Planner {
    /// Returns guidance to send to a forwarder without waiting for its next report; `None` if there are no new events
    /// for it.
    pub fn unsolicited_guidance(&mut self, now: Time, to: Epoch) -> Option<Guidance> {
        let forwarder = self.forwarders.get(&to)?;
        if forwarder.subscribes || !self.relay_log.has_events_after(forwarder.last_event) {
            return None;
        }
        self.counters.pushes += 1;
        Some(self.guidance(now, to))
    }

    /// Adds a valid sample to the host's rating and publishes the rating if needed.
    pub(super) fn record_sample(&mut self, now: Time, from: Epoch, created: Time, sample: &Sample) {
        let Some(host) = self.hosts.get_mut(&sample.host) else {
            self.counters.unlisted += 1;
            return;
        };
        let changed = host.health.record_sample(now, from, created, sample);
        if changed || now.since(host.published) >= REPUBLISH_AFTER {
            self.changes.remove(&host.version);
            self.version += 1;
            host.version = self.version;
            host.published = now;
            self.changes.insert(self.version, sample.host.clone());
        }
    }

    /// Returns guidance for a forwarder, without the fields that answer a report. Its events and ratings count as sent
    /// to the forwarder from then on.
    pub(super) fn guidance(&mut self, now: Time, to: Epoch) -> Guidance {
        let Some(forwarder) = self.forwarders.get_mut(&to) else {
            return Guidance::default();
        };
        forwarder.messages_sent += 1;
        let envelope = Envelope {
            from: self.epoch,
            to,
            number: forwarder.messages_sent,
            sent: Stamp::of(now),
            echo: Some(forwarder.last_stamp),
        };
        let after = forwarder.last_event;
        let events = if forwarder.subscribes {
            Vec::new()
        } else {
            self.relay_log.events_after(after)
        };
        if let Some(last) = events.last() {
            forwarder.last_event = last.position;
        }
        let (zone, since, subscribes) = (forwarder.zone, forwarder.version, forwarder.subscribes);
        let ChangedRatings { version, ratings } = self.changed_ratings(now, since, subscribes);
        if let Some(forwarder) = self.forwarders.get_mut(&to) {
            forwarder.version = version;
        }
        Guidance {
            envelope,
            coordinator_ago_ms: self
                .coordinator_knowledge
                .complete_as_of
                .map(|as_of| ceil_ms(now.since(as_of.time()))),
            coordinator_position: self.seems_caught_up(now).then(|| self.relay_log.last()),
            version,
            after,
            events,
            link: self.links.load_of(now, zone),
            ratings,
            ..Guidance::default()
        }
    }

    /// Returns whether the planner seems to have all events. Until the first heartbeat shows that it has, this holds
    /// only while the coordinator is heard; from then on forwarders judge by the age of the heartbeat.
    fn seems_caught_up(&self, now: Time) -> bool {
        let knowledge = self.coordinator_knowledge;
        let is_heard = || {
            self.coordinator_heard
                .is_some_and(|heard| now.since(heard) < COORDINATOR_TIMEOUT)
        };
        knowledge.is_caught_up && (knowledge.complete_as_of.is_some() || is_heard())
    }

    /// Returns the ratings that changed since the version that a forwarder has, limited to what one guidance may hold.
    fn changed_ratings(&self, now: Time, since: u64, subscribes: bool) -> ChangedRatings {
        let changes = self.changes.range(since + 1..);
        let (version, names): (u64, Vec<&String>) = if subscribes {
            // A subscriber gets only the most important ratings. The others are skipped for good: its version moves to
            // the current one.
            let names = changes.map(|(_, name)| name).rev();
            (self.version, self.most_important(now, names))
        } else {
            let changes: Vec<(&u64, &String)> = changes.take(MAX_RATINGS).collect();
            let last = changes.last().map(|(version, _)| **version);
            let names = changes.into_iter().map(|(_, name)| name).collect();
            (last.unwrap_or(self.version), names)
        };
        let rating = |name: &String| {
            let host = self.hosts.get(name)?;
            Some(host.health.rating(now, name))
        };
        ChangedRatings {
            version,
            ratings: names.into_iter().filter_map(rating).collect(),
        }
    }

    /// Selects from `names` the hosts that are down, and the first few of the others.
    fn most_important<'a>(
        &self,
        now: Time,
        names: impl Iterator<Item = &'a String>,
    ) -> Vec<&'a String> {
        let is_down = |name: &&String| {
            self.hosts
                .get(*name)
                .is_some_and(|host| host.health.down_since(now).is_some())
        };
        let (mut important, others): (Vec<&String>, Vec<&String>) = names.partition(is_down);
        important.truncate(MAX_RATINGS - MAX_ROUTINE_RATINGS);
        important.extend(others.into_iter().take(MAX_ROUTINE_RATINGS));
        important
    }
}
