//! The kinds of messages that the counters of traffic tell apart: each has one counter of messages and one of bytes,
//! each way.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_net::metrics::Counter;

use crate::messages::{FromForwarder, FromPlanner};

/// What a message between a forwarder and a planner counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The first bytes of either side, before any frame.
    Greeting,
    /// What a forwarder reports.
    Report,
    /// What a planner answers to a report.
    Guidance,
    /// A forwarder's wish for events.
    Subscription,
    /// Events, to a forwarder that subscribed to them.
    Delivery,
}

impl MessageKind {
    /// The counters of messages and bytes that came in.
    pub fn counters_in(self) -> [Counter; 2] {
        match self {
            MessageKind::Greeting => [Counter::greetings_messages_in, Counter::greetings_bytes_in],
            MessageKind::Report => [Counter::reports_messages_in, Counter::reports_bytes_in],
            MessageKind::Guidance => [Counter::guidance_messages_in, Counter::guidance_bytes_in],
            MessageKind::Subscription => [
                Counter::subscriptions_messages_in,
                Counter::subscriptions_bytes_in,
            ],
            MessageKind::Delivery => [
                Counter::deliveries_messages_in,
                Counter::deliveries_bytes_in,
            ],
        }
    }

    /// The counters of messages and bytes that went out.
    pub fn counters_out(self) -> [Counter; 2] {
        match self {
            MessageKind::Greeting => [
                Counter::greetings_messages_out,
                Counter::greetings_bytes_out,
            ],
            MessageKind::Report => [Counter::reports_messages_out, Counter::reports_bytes_out],
            MessageKind::Guidance => [Counter::guidance_messages_out, Counter::guidance_bytes_out],
            MessageKind::Subscription => [
                Counter::subscriptions_messages_out,
                Counter::subscriptions_bytes_out,
            ],
            MessageKind::Delivery => [
                Counter::deliveries_messages_out,
                Counter::deliveries_bytes_out,
            ],
        }
    }
}

/// A message between a forwarder and a planner, which goes in one authenticated frame.
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
