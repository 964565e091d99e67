//! The endpoint list as last announced, to be held against a full list that comes in place of what should follow.

use std::cell::RefCell;
use std::collections::BTreeMap;

use flaxdeck::{Endpoint, HostId, Time};
use flaxdeck_recovery::unconfirmed::UnconfirmedEndpoints;
use flaxdeck_wire::frames::AddressedEndpoint;

/// Owns what was last announced of each endpoint, with starts by the coordinator's clock, and which endpoints are
/// withheld because nobody has confirmed them under a new numbering.
#[derive(Default)]
pub(super) struct EndpointRecords {
    announced: RefCell<BTreeMap<HostId, Endpoint>>,
    unconfirmed: RefCell<UnconfirmedEndpoints>,
}

impl EndpointRecords {
    /// These were announced: nothing of them is unconfirmed any more.
    pub(super) fn record<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint> + Clone) {
        self.unconfirmed
            .borrow_mut()
            .confirm(endpoints.clone().map(|endpoint| &endpoint.host));
        let announced = endpoints.map(|endpoint| (endpoint.host.clone(), endpoint.clone()));
        self.announced.borrow_mut().extend(announced);
    }

    /// A full list comes in place of what was known. With `withhold`, endpoints that were withdrawn stay so, in the
    /// list too. Gives how many that are.
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

    /// Endpoints that have been withheld for long enough and are used again, as the list has them.
    pub(super) fn release_expired(&self, now: Time) -> Vec<Endpoint> {
        let released = self.unconfirmed.borrow_mut().take_expired(now);
        if !released.is_empty() {
            self.record(released.iter());
        }
        released
    }

    /// Whether an endpoint that is known here has started anew by that announcement.
    pub(super) fn has_restarted(&self, endpoint: &Endpoint) -> bool {
        self.announced
            .borrow()
            .get(&endpoint.host)
            .is_some_and(|before| before.started != endpoint.started)
    }

    /// All of them.
    pub(super) fn all(&self) -> Vec<Endpoint> {
        self.announced.borrow().values().cloned().collect()
    }
}
