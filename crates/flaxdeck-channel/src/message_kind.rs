//! The kinds of messages that counters of traffic tell apart.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_net::tally::Count;

use crate::messages::{FromForwarder, FromPlanner};

/// What a message of a sealed conversation counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Greeting,
    Report,
    Guidance,
    Subscription,
    Delivery,
}

impl MessageKind {
    /// The counters of messages and bytes that came in.
    pub fn counters_in(self) -> [Count; 2] {
        match self {
            MessageKind::Greeting => [Count::greetings_messages_in, Count::greetings_bytes_in],
            MessageKind::Report => [Count::reports_messages_in, Count::reports_bytes_in],
            MessageKind::Guidance => [Count::guidance_messages_in, Count::guidance_bytes_in],
            MessageKind::Subscription => [
                Count::subscriptions_messages_in,
                Count::subscriptions_bytes_in,
            ],
            MessageKind::Delivery => [Count::deliveries_messages_in, Count::deliveries_bytes_in],
        }
    }

    /// The counters of messages and bytes that went out.
    pub fn counters_out(self) -> [Count; 2] {
        match self {
            MessageKind::Greeting => [Count::greetings_messages_out, Count::greetings_bytes_out],
            MessageKind::Report => [Count::reports_messages_out, Count::reports_bytes_out],
            MessageKind::Guidance => [Count::guidance_messages_out, Count::guidance_bytes_out],
            MessageKind::Subscription => [
                Count::subscriptions_messages_out,
                Count::subscriptions_bytes_out,
            ],
            MessageKind::Delivery => [Count::deliveries_messages_out, Count::deliveries_bytes_out],
        }
    }
}

/// A message of a sealed conversation.
pub trait Message {
    /// What it counts as.
    fn kind(&self) -> MessageKind;
}

impl Message for FromForwarder {
    fn kind(&self) -> MessageKind {
        match self {
            FromForwarder::Report(_) => MessageKind::Report,
            FromForwarder::Subscribe(_) => MessageKind::Subscription,
        }
    }
}

impl Message for FromPlanner {
    fn kind(&self) -> MessageKind {
        match self {
            FromPlanner::Guidance(_) => MessageKind::Guidance,
            FromPlanner::Delivery(_) => MessageKind::Delivery,
        }
    }
}

impl Message for Report {
    fn kind(&self) -> MessageKind {
        MessageKind::Report
    }
}

impl Message for Guidance {
    fn kind(&self) -> MessageKind {
        MessageKind::Guidance
    }
}
