//! Each zone's link, as last heard by any of its forwarders.

use std::collections::BTreeMap;

use flaxdeck::{Sampled, Span, Time};

use super::{FORWARDER_TIMEOUT, MAX_FORWARDERS};
use crate::messages::{LinkLoad, ceil_ms};

/// The links by zone.
#[derive(Default)]
pub(super) struct ZoneLinks {
    utilization: BTreeMap<u32, Sampled<f32>>,
}

impl ZoneLinks {
    /// Takes in what a forwarder of the zone told in a report that was written at `written` at the earliest. The latest
    /// figure counts.
    pub(super) fn record(&mut self, now: Time, written: Time, zone: u32, link: LinkLoad) {
        self.utilization
            .retain(|_, known| now.since(known.at) < FORWARDER_TIMEOUT);
        let at = written - Span::from_ms(u64::from(link.ago_ms));
        let known = self.utilization.get(&zone);
        let has_room = known.is_some() || self.utilization.len() < MAX_FORWARDERS;
        if has_room && known.is_none_or(|known| known.at < at) {
            let value = link.utilization;
            self.utilization.insert(zone, Sampled { value, at });
        }
    }

    /// The load of a zone's link; none if nobody told it.
    pub(super) fn load_of(&self, now: Time, zone: u32) -> Option<LinkLoad> {
        let known = self.utilization.get(&zone)?;
        Some(LinkLoad {
            utilization: known.value,
            ago_ms: ceil_ms(now.since(known.at)),
        })
    }
}
