//! Hints of a forwarder to its decision engine.

use flaxdeck::{HostId, PeerHint, PeerHints, Sampled, SourceMeasurements, Span, Time, WarmupQuota};

use super::ForwarderSession;
use super::freshness::{Freshness, RATINGS_LIFETIME};
use crate::membership::SILENCE_TIMEOUT;
use crate::messages::{Incarnation, Rating};

impl ForwarderSession {
    /// Returns the hints for the decision engine at `now`. Each rating is passed on only once.
    pub fn hints(&mut self, now: Time) -> PeerHints {
        self.peers_in_flight
            .retain(|_, in_flight| now.since(in_flight.at) < SILENCE_TIMEOUT);
        let quotas = self
            .quotas
            .usable(now)
            .map(|(incarnation, usable)| PeerHint {
                quota: Some(WarmupQuota {
                    started: start_of(incarnation),
                    fraction: usable.as_f64(),
                }),
                others_in_flight: self.peers_in_flight.get(incarnation).copied(),
                ..empty_hint(&incarnation.host)
            });
        let mut hints: Vec<PeerHint> = quotas.collect();
        let fresh_ratings = std::mem::take(&mut self.new_ratings)
            .into_values()
            .filter(|rating| now.since(rating.at) < RATINGS_LIFETIME);
        hints.extend(fresh_ratings.map(rating_hint));
        let unhinted_share = if self.quotas.has_own_share(now) {
            self.own_part()
        } else {
            0.0
        };
        PeerHints {
            hints,
            unhinted_share,
            link: self.peers_link,
            list_trusted: self.freshness(now) != Freshness::Unconfirmed,
        }
    }
}

fn start_of(incarnation: &Incarnation) -> Option<Time> {
    (incarnation.started > 0).then(|| Time::at_ms(incarnation.started as f64))
}

fn empty_hint(host: &str) -> PeerHint {
    PeerHint {
        host: HostId(host.into()),
        quota: None,
        measurements: SourceMeasurements::default(),
        measured_at: None,
        down_at: None,
        last_success: None,
        window: None,
        others_in_flight: None,
    }
}

fn rating_hint(rating: Sampled<Rating>) -> PeerHint {
    let Sampled { value: rating, at } = rating;
    let ago = |ms: u32| at - Span::from_ms(u64::from(ms));
    PeerHint {
        measurements: rating.measurements.into(),
        measured_at: Some(ago(rating.measured_ago_ms)),
        down_at: rating.down_ago_ms.map(ago),
        last_success: rating.last_success_ago_ms.map(ago),
        window: rating.window.map(f64::from),
        ..empty_hint(&rating.host)
    }
}
