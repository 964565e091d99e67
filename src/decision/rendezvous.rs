//! Weighted rendezvous hashing: every dispatcher computes the same order of hosts for a part of an object.

use crate::hash::{mix, of_name};
use crate::{HostId, Request, Role};

use super::DecisionEngine;
use super::constants::{MAX_MOVE_FACTOR, MIN_HASH_WEIGHT, MIN_MOVE_FACTOR};
use super::state::Host;

/// Returns the hash of a host's id, which is part of each of its scores.
pub(super) fn host_hash(id: &HostId) -> u64 {
    mix(of_name(&id.0, 0))
}

/// Returns the rendezvous score of a host for an object's part, above 0 and up to 1; the host with the highest score
/// comes first, weights aside.
///
/// Guards against one cache getting all parts of a popular object: each part has a score of its own.
pub(super) fn score(host: &Host, request: &Request) -> f64 {
    ((mix(mix(request.object.0 ^ mix(request.part)) ^ host.hash) >> 11) as f64 + 1.0)
        / (1u64 << 53) as f64
}

/// Returns the multiple of [`FULL_LOAD`](super::constants::FULL_LOAD) at which an object's part moves away from a host.
///
/// Guards against a loaded host losing all its objects at once: each part has a threshold of its own, the same at
/// every dispatcher, so that they move one after another.
pub(super) fn move_factor(host: &Host, request: &Request) -> f64 {
    MIN_MOVE_FACTOR + (MAX_MOVE_FACTOR - MIN_MOVE_FACTOR) * score(host, request)
}

/// Returns the sort key of a host in the hash order for an object's part; the host with the lowest key comes first.
fn order_key(host: &Host, request: &Request) -> f64 {
    -score(host, request).ln() / host.endpoint.weight.max(MIN_HASH_WEIGHT)
}

impl DecisionEngine {
    /// Returns the hosts of a role that are in service, in the hash order for a request's part of its object. Of
    /// caches, only those of this location are included.
    pub(super) fn in_hash_order(&self, role: Role, request: &Request) -> Vec<&Host> {
        let mut order: Vec<&Host> = self
            .hosts
            .values()
            .filter(|host| host.is(role))
            .filter(|host| role != Role::Cache || self.is_local_cache(host))
            .filter(|host| host.in_service())
            .collect();
        order.sort_by(|a, b| order_key(a, request).total_cmp(&order_key(b, request)));
        order
    }
}
