//! The kinds of messages that counters of traffic tell apart.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_net::tally::Count;

use crate::messages::{FromForwarder, FromPlanner};

/// What a message of a sealed conversation counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Greeting,
    Report,
    Guidance,
    Subscription,
    Delivery,
}

impl Kind {
    /// The counters of messages and bytes that came in.
    pub fn counts_in(self) -> [Count; 2] {
        match self {
            Kind::Greeting => [Count::greetings_messages_in, Count::greetings_bytes_in],
            Kind::Report => [Count::reports_messages_in, Count::reports_bytes_in],
            Kind::Guidance => [Count::guidance_messages_in, Count::guidance_bytes_in],
            Kind::Subscription => [
                Count::subscriptions_messages_in,
                Count::subscriptions_bytes_in,
            ],
            Kind::Delivery => [Count::deliveries_messages_in, Count::deliveries_bytes_in],
        }
    }

    /// The counters of messages and bytes that went out.
    pub fn counts_out(self) -> [Count; 2] {
        match self {
            Kind::Greeting => [Count::greetings_messages_out, Count::greetings_bytes_out],
            Kind::Report => [Count::reports_messages_out, Count::reports_bytes_out],
            Kind::Guidance => [Count::guidance_messages_out, Count::guidance_bytes_out],
            Kind::Subscription => [
                Count::subscriptions_messages_out,
                Count::subscriptions_bytes_out,
            ],
            Kind::Delivery => [Count::deliveries_messages_out, Count::deliveries_bytes_out],
        }
    }
}

/// A message of a sealed conversation.
pub trait Message {
    /// What it counts as.
    fn kind(&self) -> Kind;
}

impl Message for FromForwarder {
    fn kind(&self) -> Kind {
        match self {
            FromForwarder::Report(_) => Kind::Report,
            FromForwarder::Subscribe(_) => Kind::Subscription,
        }
    }
}

impl Message for FromPlanner {
    fn kind(&self) -> Kind {
        match self {
            FromPlanner::Guidance(_) => Kind::Guidance,
            FromPlanner::Delivery(_) => Kind::Delivery,
        }
    }
}

impl Message for Report {
    fn kind(&self) -> Kind {
        Kind::Report
    }
}

impl Message for Guidance {
    fn kind(&self) -> Kind {
        Kind::Guidance
    }
}
