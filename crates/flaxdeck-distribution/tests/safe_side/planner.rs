//! A planner that receives the coordinator's events late or not at all.

use flaxdeck::{CompleteAsOf, CoordinatorKnowledge, Span};
use flaxdeck_distribution::{Cadence, Publisher, Retention};
use flaxdeck_recovery::EventPosition;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::coordinator::{Coordinator, HOSTS, Hosts, MAX_COORDINATOR_DELAY_MS, at, to_content};
use super::world::Schedule;

pub(crate) struct Planner {
    pub(crate) publisher: Publisher,
    /// The coordinator's numbering that it follows, and how many of its events it has received.
    pub(crate) followed_events: Option<(usize, usize)>,
    pub(crate) hosts: Hosts,
    pub(crate) partitioned_until: u64,
    /// When it next receives events or an empty message from the coordinator.
    pub(crate) next_receive_at: u64,
    pub(crate) connection: u64,
    pub(crate) connected: bool,
    /// When the forwarder sent the last message received from it.
    pub(crate) echo: u64,
    pub(crate) restarts_at: u64,
}

impl Planner {
    pub(crate) fn start(ms: u64, schedule: &Schedule) -> Planner {
        let retention = Retention {
            keep_for: Span::from_ms(schedule.keep_for),
            max_bytes: schedule.max_bytes,
        };
        Planner {
            publisher: Publisher::start(at(ms), Cadence::default(), retention, EventPosition::NONE),
            followed_events: None,
            hosts: [false; HOSTS],
            partitioned_until: 0,
            next_receive_at: ms,
            connection: 0,
            connected: false,
            echo: 0,
            restarts_at: u64::MAX,
        }
    }

    pub(crate) fn receive_events(
        &mut self,
        ms: u64,
        coordinator: &Coordinator,
        random: &mut Pcg64Mcg,
    ) {
        if ms < self.partitioned_until || ms < self.next_receive_at {
            return;
        }
        self.next_receive_at = ms + random.random_range(0..MAX_COORDINATOR_DELAY_MS);
        let now = at(ms);
        match self.followed_events {
            Some((numbering, received)) if numbering == coordinator.numbering => {
                for event in &coordinator.events[received..] {
                    self.publisher
                        .append_event(now, event.position, to_content(&event.payload));
                }
            }
            // A planner notices a new numbering only when it reconnects to the coordinator.
            _ if self.followed_events.is_some() && random.random_bool(0.95) => return,
            _ => self
                .publisher
                .restart_numbering(now, coordinator.last().position),
        }
        (self.followed_events, self.hosts) = (
            Some((coordinator.numbering, coordinator.events.len())),
            coordinator.last().hosts,
        );
        self.publisher.coordinator_heard(
            now,
            CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(now)),
        );
    }
}
