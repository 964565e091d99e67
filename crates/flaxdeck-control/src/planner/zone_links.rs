//! Utilization of each zone's link, as last reported by any of its forwarders.

use std::collections::BTreeMap;

use flaxdeck::{Sampled, Span, Time};

use super::{FORWARDER_TIMEOUT, MAX_FORWARDERS};
use crate::messages::{LinkLoad, ceil_ms};

/// Utilization of links by zone.
#[derive(Default)]
pub(super) struct ZoneLinks {
    utilization: BTreeMap<u32, Sampled<f32>>,
}

impl ZoneLinks {
    /// Records the load that a forwarder of the zone sent in a report created at `created` or later. The most recent
    /// value is kept.
    pub(super) fn record(&mut self, now: Time, created: Time, zone: u32, link: LinkLoad) {
        self.utilization
            .retain(|_, known| now.since(known.at) < FORWARDER_TIMEOUT);
        let at = created - Span::from_ms(u64::from(link.ago_ms));
        let known = self.utilization.get(&zone);
        let has_capacity = known.is_some() || self.utilization.len() < MAX_FORWARDERS;
        if has_capacity && known.is_none_or(|known| known.at < at) {
            let value = link.utilization;
            self.utilization.insert(zone, Sampled { value, at });
        }
    }

    /// Returns the load of a zone's link; `None` if no forwarder reported it.
    pub(super) fn load_of(&self, now: Time, zone: u32) -> Option<LinkLoad> {
        let known = self.utilization.get(&zone)?;
        Some(LinkLoad {
            utilization: known.value,
            ago_ms: ceil_ms(now.since(known.at)),
        })
    }
}
