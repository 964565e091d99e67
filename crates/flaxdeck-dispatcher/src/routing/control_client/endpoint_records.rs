//! Records the endpoint list as last announced, for comparison with a full list that replaces it out of sequence.

use std::cell::RefCell;
use std::collections::BTreeMap;

use flaxdeck::{Endpoint, HostId, Time};
use flaxdeck_recovery::unconfirmed::UnconfirmedEndpoints;
use flaxdeck_wire::frames::AddressedEndpoint;

/// Owns the last announced state of each endpoint, with start times by the coordinator's clock, and the set of
/// endpoints that are withheld: a list of a new numbering has them in service, but they were known to be withdrawn
/// before.
#[derive(Default)]
pub(super) struct EndpointRecords {
    announced: RefCell<BTreeMap<HostId, Endpoint>>,
    unconfirmed: RefCell<UnconfirmedEndpoints>,
}

impl EndpointRecords {
    /// Records endpoints that an event announces, which also ends the withholding of them.
    pub(super) fn record<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint> + Clone) {
        self.unconfirmed
            .borrow_mut()
            .confirm(endpoints.clone().map(|endpoint| &endpoint.host));
        let announced = endpoints.map(|endpoint| (endpoint.host.clone(), endpoint.clone()));
        self.announced.borrow_mut().extend(announced);
    }

    /// Replaces all records by a full list. With `withhold`, endpoints that were known to be withdrawn stay so, and the
    /// list is changed accordingly. Returns the number of endpoints withheld.
    pub(super) fn replace(
        &self,
        now: Time,
        endpoints: &mut [AddressedEndpoint],
        withhold: bool,
    ) -> usize {
        let withheld = if withhold {
            self.withhold(now, endpoints)
        } else {
            0
        };
        *self.announced.borrow_mut() = endpoints
            .iter()
            .map(|endpoint| (endpoint.listed.host.clone(), endpoint.listed.clone()))
            .collect();
        withheld
    }

    /// Changes the list so that endpoints which were known to be withdrawn stay so. Returns their number.
    fn withhold(&self, now: Time, endpoints: &mut [AddressedEndpoint]) -> usize {
        let listed = endpoints
            .iter()
            .map(|endpoint| endpoint.listed.clone())
            .collect();
        let adopted = self
            .unconfirmed
            .borrow_mut()
            .adopt(now, &self.announced.borrow(), listed);
        for (endpoint, listed) in endpoints.iter_mut().zip(adopted.endpoints) {
            endpoint.listed = listed;
        }
        adopted.held_back
    }

    /// Returns the endpoints whose withholding has ended by now, in the state that the list gave them, and records
    /// them.
    pub(super) fn release_expired(&self, now: Time) -> Vec<Endpoint> {
        let released = self.unconfirmed.borrow_mut().take_expired(now);
        if !released.is_empty() {
            self.record(released.iter());
        }
        released
    }

    /// Whether the announcement gives a known endpoint another start time.
    pub(super) fn has_restarted(&self, endpoint: &Endpoint) -> bool {
        self.announced
            .borrow()
            .get(&endpoint.host)
            .is_some_and(|before| before.started != endpoint.started)
    }

    /// Returns all endpoints as last announced.
    pub(super) fn all(&self) -> Vec<Endpoint> {
        self.announced.borrow().values().cloned().collect()
    }
}
