//! Which endpoints of a list that replaced what should have followed may be used.
//!
//! Such a list may be older than what is known here: a coordinator that was restored from a backup lists a host in
//! service that it had withdrawn since. Nobody can tell such a list from one of a coordinator that only lost its numbers,
//! so a host that is known to be withdrawn stays so until a fact says otherwise: a later event that names the host, or
//! another start of it.

use std::collections::BTreeMap;

use flaxdeck::{Endpoint, Health, HostId, Span, Time};

use crate::numbering::MissedPeriod;

/// A host that is held back and that no event has named since is used again after so long. It weighs a drain that was
/// forgotten against a place lost for good: a host that drains has ended well before that by any promised time, and one
/// still listed then is served by whoever restored the coordinator.
const HELD_BACK_FOR: Span = Span::from_ms(60_000);

/// A list that was adopted.
#[derive(Clone, Debug)]
pub struct AdoptedList {
    /// The endpoints, those that are held back with the health that they had before.
    pub endpoints: Vec<Endpoint>,
    /// How many are held back.
    pub held_back: usize,
}

#[derive(Clone)]
struct HeldBack {
    endpoint: Endpoint,
    until: Time,
}

/// Endpoints that are held back, as they were withdrawn under a numbering that is no more.
#[derive(Default)]
pub struct UnconfirmedEndpoints {
    held_back: BTreeMap<HostId, HeldBack>,
}

impl UnconfirmedEndpoints {
    /// Takes a full list that replaces what was known.
    pub fn adopt(
        &mut self,
        now: Time,
        known: &BTreeMap<HostId, Endpoint>,
        mut endpoints: Vec<Endpoint>,
    ) -> AdoptedList {
        self.held_back.clear();
        for endpoint in &mut endpoints {
            let Some(before) = known.get(&endpoint.host) else {
                continue;
            };
            let was_withdrawn =
                endpoint.health == Health::InService && before.health != Health::InService;
            if was_withdrawn && endpoint.started <= before.started {
                endpoint.health = before.health;
                let held_back = HeldBack {
                    endpoint: endpoint.clone(),
                    until: now + HELD_BACK_FOR,
                };
                self.held_back.insert(endpoint.host.clone(), held_back);
            }
        }
        AdoptedList {
            endpoints,
            held_back: self.held_back.len(),
        }
    }

    /// An event of the new numbering names these hosts: what it says of them is confirmed.
    pub fn confirm<'a>(&mut self, hosts: impl IntoIterator<Item = &'a HostId>) {
        for host in hosts {
            self.held_back.remove(host);
        }
    }

    /// The endpoints that are not held back any more, as the new list has them.
    pub fn take_expired(&mut self, now: Time) -> Vec<Endpoint> {
        let mut expired = Vec::new();
        self.held_back.retain(|_, held_back| {
            let is_expired = held_back.until <= now;
            if is_expired {
                expired.push(Endpoint {
                    health: Health::InService,
                    ..held_back.endpoint.clone()
                });
            }
            !is_expired
        });
        expired
    }

    /// When the next ones expire.
    pub fn next_expiry(&self) -> Option<Time> {
        self.held_back
            .values()
            .map(|held_back| held_back.until)
            .min()
    }
}

/// The moment from before which no copy may be served, as a purge may have been missed since; none if nothing can have
/// been. Hosts drop by themselves what was purged `settles` ago, so only the time after counts, and a connection that
/// was closed cleanly has told all that there was.
pub fn copies_from(now: Time, missed: MissedPeriod, settles: Span) -> Option<Time> {
    let since = missed.since?;
    let length = now.since(since);
    if missed.closed_cleanly || length == Span::ZERO {
        return None;
    }
    Some(if length > settles {
        now - settles
    } else {
        since
    })
}
