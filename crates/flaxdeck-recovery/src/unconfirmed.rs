//! Decides which endpoints may be used from a full list that replaced the expected events.
//!
//! Such a list may be older than the known state: a coordinator that was restored from a backup may list a host as in
//! service that it had withdrawn since the backup. The list looks the same as that of a coordinator that only lost its
//! numbering. So a host that is known to be withdrawn is held back until its state is confirmed by a later event that
//! names the host, or by a later start of the host.

use std::collections::BTreeMap;

use flaxdeck::{Endpoint, Health, HostId, Span, Time};

use crate::numbering::MissedPeriod;

/// Time after which a host that is held back is used again although no event has named it. A shorter time risks using a
/// host whose drain the restored coordinator has lost; without a limit, the capacity of the host would be lost for
/// good. Any promised drain time ends well before this, and a host still listed then is one that the operator of the
/// restored coordinator wants in service.
const HOLD_BACK_PERIOD: Span = Span::from_ms(60_000);

/// A full list after adoption.
#[derive(Clone, Debug)]
pub struct AdoptedList {
    /// The endpoints; those that are held back keep the health that they had before.
    pub endpoints: Vec<Endpoint>,
    /// Number of endpoints that are held back.
    pub held_back: usize,
}

#[derive(Clone)]
struct HeldBack {
    endpoint: Endpoint,
    until: Time,
}

/// Tracks the endpoints that are held back because they were withdrawn under the previous numbering.
#[derive(Default)]
pub struct UnconfirmedEndpoints {
    held_back: BTreeMap<HostId, HeldBack>,
}

impl UnconfirmedEndpoints {
    /// Adopts a full list that replaces the `known` endpoints, and holds back those that were withdrawn and have not
    /// restarted since.
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
                    until: now + HOLD_BACK_PERIOD,
                };
                self.held_back.insert(endpoint.host.clone(), held_back);
            }
        }
        AdoptedList {
            endpoints,
            held_back: self.held_back.len(),
        }
    }

    /// Stops tracking the hosts that an event of the new numbering names, as the event confirms their state.
    pub fn confirm<'a>(&mut self, hosts: impl IntoIterator<Item = &'a HostId>) {
        for host in hosts {
            self.held_back.remove(host);
        }
    }

    /// Removes and returns the endpoints whose hold-back period has ended, in service as in the adopted list.
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

    /// Returns when the next hold-back period ends.
    pub fn next_expiry(&self) -> Option<Time> {
        self.held_back
            .values()
            .map(|held_back| held_back.until)
            .min()
    }
}

/// Returns the time from which on copies may be served, as a purge of older ones may have been missed; none if no purge
/// can have been missed. Hosts drop by themselves what was purged more than `settle_time` ago, so only later purges
/// count. A connection that was closed cleanly has delivered all events, so nothing was missed on it.
pub fn copies_from(now: Time, missed: MissedPeriod, settle_time: Span) -> Option<Time> {
    let since = missed.since?;
    let length = now.since(since);
    if missed.closed_cleanly || length == Span::ZERO {
        return None;
    }
    Some(if length > settle_time {
        now - settle_time
    } else {
        since
    })
}
