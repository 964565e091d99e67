//! A planner that hears the coordinator late or not at all.

use flaxdeck::Span;
use flaxdeck_distribution::{Cadence, Publisher, Retention};
use flaxdeck_recovery::EventPosition;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::coordinator::{Coordinator, HOSTS, Hosts, TRANSIT, at, content};
use super::world::Schedule;

pub(crate) struct Planner {
    pub(crate) publisher: Publisher,
    /// The coordinator's run that it follows, and how many of its events it has.
    pub(crate) follows: Option<(usize, usize)>,
    pub(crate) hosts: Hosts,
    pub(crate) deaf_until: u64,
    /// When the coordinator next has something for it, events or an empty frame.
    pub(crate) hears_at: u64,
    pub(crate) connection: u64,
    pub(crate) connected: bool,
    /// When the forwarder sent what came last.
    pub(crate) echo: u64,
    pub(crate) restarts_at: u64,
}

impl Planner {
    pub(crate) fn start(ms: u64, schedule: &Schedule) -> Planner {
        let retention = Retention {
            keep_for: Span::from_ms(schedule.keep_for),
            max_bytes: schedule.bytes_most,
        };
        Planner {
            publisher: Publisher::start(at(ms), Cadence::default(), retention, EventPosition::NONE),
            follows: None,
            hosts: [false; HOSTS],
            deaf_until: 0,
            hears_at: ms,
            connection: 0,
            connected: false,
            echo: 0,
            restarts_at: u64::MAX,
        }
    }

    pub(crate) fn hears(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        if ms < self.deaf_until || ms < self.hears_at {
            return;
        }
        self.hears_at = ms + random.random_range(0..TRANSIT);
        let now = at(ms);
        match self.follows {
            Some((run, place)) if run == coordinator.run => {
                for event in &coordinator.events[place..] {
                    self.publisher
                        .append_event(now, event.position, content(&event.told));
                }
            }
            // A planner finds out when it comes back to the coordinator.
            _ if self.follows.is_some() && random.random_bool(0.95) => return,
            _ => self
                .publisher
                .restart_numbering(now, coordinator.last().position),
        }
        (self.follows, self.hosts) = (
            Some((coordinator.run, coordinator.events.len())),
            coordinator.last().hosts,
        );
        self.publisher.coordinator_heard(now, true);
    }
}
