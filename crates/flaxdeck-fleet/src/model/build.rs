//! The state of a run before its first event.

use std::collections::HashMap;

use flaxdeck_control::QuotaFraction;
use flaxdeck_control::messages::Epoch;
use flaxdeck_control::planner::Planner;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::events::Event;
use super::fault_effects::Conditions;
use super::planners::lease_terms;
use super::sites::{SAMPLE_MS, Site};
use super::{Model, Outcome, Shape, time};
use crate::hosts::{Host, Kind};
use crate::queue::Queue;
use crate::traffic::Traffic;

/// The hosts of a shape: caches by location, then parents, the origin last.
fn hosts(shape: &Shape) -> Vec<Host> {
    let [cache_places, parent_places, origin_places] = shape.places;
    let [cache_kb, parent_kb] = shape.keeps_kb;
    let mut hosts = Vec::new();
    for zone in 0..shape.zones {
        for n in 0..shape.caches {
            let id = format!("s-{:08x}", 0xca00 + zone * 256 + n);
            hosts.push(Host::new(id, Kind::Cache, zone, cache_places, cache_kb));
        }
    }
    for n in 0..shape.parents {
        let id = format!("s-{:08x}", 0x9a0000 + n);
        hosts.push(Host::new(
            id,
            Kind::Parent,
            usize::MAX,
            parent_places,
            parent_kb,
        ));
    }
    hosts.push(Host::new(
        "s-00000001".into(),
        Kind::Origin,
        usize::MAX,
        origin_places,
        0.0,
    ));
    hosts
}

/// The planners of a shape, which know all its hosts.
fn planners(shape: &Shape, hosts: &[Host]) -> Vec<Planner> {
    let start = |n: usize| {
        Planner::start(
            time(0.0),
            Epoch(n as u64 + 1),
            lease_terms(shape.window_ms),
            QuotaFraction::NONE,
        )
    };
    let mut planners: Vec<Planner> = (0..shape.planners).map(start).collect();
    for host in hosts {
        planners
            .iter_mut()
            .for_each(|planner| planner.update_host(time(0.0), &host.id, Some(0)));
    }
    planners
}

impl Model<'_> {
    /// The fleet of a shape, with its forwarders started and its first events planned.
    pub(super) fn new(shape: &Shape, seed: u64) -> Model<'_> {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let traffic = Traffic::new(shape.law.clone(), &mut chance);
        let hosts = hosts(shape);
        let names = hosts
            .iter()
            .enumerate()
            .map(|(at, host)| (host.id.clone(), at))
            .collect();
        let planners = planners(shape, &hosts);
        let mut model = Model {
            shape,
            now: 0.0,
            queue: Queue::default(),
            chance,
            traffic,
            hosts,
            names,
            forwarders: Vec::new(),
            planners,
            sites: (0..shape.zones)
                .map(|_| Site::new(shape.link_pace))
                .collect(),
            wants: Vec::new(),
            attempts: HashMap::new(),
            requests: HashMap::new(),
            next: 0,
            coordinator_events: Vec::new(),
            conditions: Conditions::usual(shape),
            outcome: Outcome::default(),
            record: Vec::new(),
        };
        model.start_forwarders();
        model.plan_first_events();
        model
    }

    fn start_forwarders(&mut self) {
        for n in 0..self.shape.zones * self.shape.forwarders {
            let forwarder = self.forwarder(n, 0);
            self.forwarders.push(forwarder);
            self.listen(n);
        }
    }

    fn plan_first_events(&mut self) {
        (0..self.shape.zones).for_each(|zone| self.after(0.0, Event::Arrival { zone }));
        self.after(SAMPLE_MS, Event::Samples);
        for (at, fault) in self.shape.faults.iter().enumerate() {
            self.after(fault.at_ms, Event::FaultBegins { fault: at });
            self.after(fault.at_ms + fault.lasts_ms, Event::FaultEnds { fault: at });
        }
    }
}
