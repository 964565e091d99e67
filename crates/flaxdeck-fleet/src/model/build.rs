//! Creates the initial state of a run.

use std::collections::HashMap;

use flaxdeck_control::QuotaFraction;
use flaxdeck_control::messages::Epoch;
use flaxdeck_control::planner::Planner;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::events::Event;
use super::fault_effects::Conditions;
use super::links::{SAMPLE_INTERVAL_MS, ZoneLink};
use super::planners::lease_terms;
use super::{Model, time};
use crate::host::{Host, HostKind};
use crate::outcome::Outcome;
use crate::queue::EventQueue;
use crate::scenario::Scenario;
use crate::traffic::Traffic;

/// The zone of parents and the origin, which serve all zones.
const NO_ZONE: usize = usize::MAX;
/// The number in the id of the first zone's first cache.
const FIRST_CACHE_ID: usize = 0xca00;
/// The numbers in cache ids that are set aside for each zone.
const CACHE_IDS_PER_ZONE: usize = 256;
/// The number in the id of the first parent.
const FIRST_PARENT_ID: usize = 0x9a_0000;
/// The number in the id of the origin.
const ORIGIN_ID: usize = 1;

fn host_id(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Creates the hosts of a scenario: first the caches, zone by zone, then the parents, and the origin as the last host.
fn hosts(scenario: &Scenario) -> Vec<Host> {
    let slots = scenario.slots;
    let mut hosts = Vec::new();
    for zone in 0..scenario.zones {
        for n in 0..scenario.caches_per_zone {
            let id = host_id(FIRST_CACHE_ID + zone * CACHE_IDS_PER_ZONE + n);
            let cache = Host::new(id, HostKind::Cache, zone, slots.cache, scenario.cache_kb);
            hosts.push(cache);
        }
    }
    for n in 0..scenario.parents {
        let (id, kb) = (host_id(FIRST_PARENT_ID + n), scenario.parent_kb);
        hosts.push(Host::new(id, HostKind::Parent, NO_ZONE, slots.parent, kb));
    }
    let id = host_id(ORIGIN_ID);
    hosts.push(Host::new(id, HostKind::Origin, NO_ZONE, slots.origin, 0.0));
    hosts
}

/// Creates the planners of a scenario, with all its hosts listed.
fn planners(scenario: &Scenario, hosts: &[Host]) -> Vec<Planner> {
    let start = |n: usize| {
        Planner::start(
            time(0.0),
            Epoch(n as u64 + 1),
            lease_terms(scenario.load_window_ms),
            QuotaFraction::NONE,
        )
    };
    let mut planners: Vec<Planner> = (0..scenario.planners).map(start).collect();
    for host in hosts {
        for planner in &mut planners {
            planner.update_host(time(0.0), &host.id, Some(0));
        }
    }
    planners
}

impl Model<'_> {
    /// Creates the fleet of a scenario, starts its forwarders and schedules its first events.
    pub(super) fn new(scenario: &Scenario, seed: u64) -> Model<'_> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let traffic = Traffic::new(scenario.traffic.clone(), &mut rng);
        let hosts = hosts(scenario);
        let ids = hosts.iter().map(|host| host.id.clone());
        let host_indices = ids.zip(0..).collect();
        let planners = planners(scenario, &hosts);
        let zone_link = |_| ZoneLink::new(scenario.link_kb_per_ms);
        let mut model = Model {
            scenario,
            now: 0.0,
            queue: EventQueue::default(),
            rng,
            traffic,
            hosts,
            host_indices,
            forwarders: Vec::new(),
            planners,
            zone_links: (0..scenario.zones).map(zone_link).collect(),
            operations: Vec::new(),
            attempts: HashMap::new(),
            requests: HashMap::new(),
            next_id: 0,
            coordinator_events: Vec::new(),
            conditions: Conditions::without_faults(scenario),
            outcome: Outcome::default(),
            record: Vec::new(),
        };
        model.start_forwarders();
        model.schedule_first_events();
        model
    }

    fn start_forwarders(&mut self) {
        for index in 0..self.scenario.zones * self.scenario.forwarders_per_zone {
            let forwarder = self.new_forwarder(index, 0);
            self.forwarders.push(forwarder);
            self.receive_full_list(index);
        }
    }

    fn schedule_first_events(&mut self) {
        for zone in 0..self.scenario.zones {
            self.schedule(0.0, Event::Arrival { zone });
        }
        self.schedule(SAMPLE_INTERVAL_MS, Event::LoadSample);
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let end_ms = fault.at_ms + fault.duration_ms;
            self.schedule(fault.at_ms, Event::FaultStarts { fault: index });
            self.schedule(end_ms, Event::FaultEnds { fault: index });
        }
    }
}
