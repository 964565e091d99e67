//! Weighted rendezvous hashing: every dispatcher gets the same order of hosts for an object's part.

use crate::hash::{mix, of_name};
use crate::{HostId, Request, Role};

use super::DecisionEngine;
use super::constants::{MAX_MOVE_FACTOR, MIN_HASH_WEIGHT, MIN_MOVE_FACTOR};
use super::state::Host;

/// The host's part of every score.
pub(super) fn host_hash(id: &HostId) -> u64 {
    mix(of_name(&id.0, 0))
}

/// The hash of an object's part and a host, over 0 and up to 1; the higher, the more the part belongs there.
///
/// Guards against one cache getting all parts of an object that is much asked for: each part has a score of its own.
pub(super) fn score(host: &Host, request: &Request) -> f64 {
    ((mix(mix(request.object.0 ^ mix(request.part)) ^ host.hash) >> 11) as f64 + 1.0)
        / (1u64 << 53) as f64
}

/// The multiple of [`FULL_LOAD`](super::constants::FULL_LOAD) at which an object's part moves away from a host.
///
/// Guards against a loaded host losing all its objects at once: each part has a threshold of its own, the same at
/// every dispatcher, so they leave one after another.
pub(super) fn move_factor(host: &Host, request: &Request) -> f64 {
    MIN_MOVE_FACTOR + (MAX_MOVE_FACTOR - MIN_MOVE_FACTOR) * score(host, request)
}

/// The place of a host in the order for an object's part: the least comes first.
fn rank(host: &Host, request: &Request) -> f64 {
    -score(host, request).ln() / host.endpoint.weight.max(MIN_HASH_WEIGHT)
}

impl DecisionEngine {
    /// Hosts of a role in service, of caches those of this location, in the hash order of a request's object.
    pub(super) fn in_hash_order(&self, role: Role, request: &Request) -> Vec<&Host> {
        let mut order: Vec<&Host> = self
            .hosts
            .values()
            .filter(|host| host.is(role))
            .filter(|host| role != Role::Cache || self.is_local_cache(host))
            .filter(|host| host.in_service())
            .collect();
        order.sort_by(|a, b| rank(a, request).total_cmp(&rank(b, request)));
        order
    }
}
