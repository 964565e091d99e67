//! The kinds of messages that the traffic counters distinguish: each kind has a counter of messages and one of bytes,
//! for either direction.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_net::metrics::Counter;

use crate::messages::{FromForwarder, FromPlanner};

/// The kind that a message between a forwarder and a planner is counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The first bytes that either side sends, before any frame.
    Greeting,
    /// A forwarder's report.
    Report,
    /// A planner's guidance: the answer to a report, or sent between reports.
    Guidance,
    /// A forwarder's request to be sent events, or to be sent none.
    Subscription,
    /// Events that a planner sends to a subscribed forwarder.
    Delivery,
}

impl MessageKind {
    /// Returns the counters of received messages and of their bytes.
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

    /// Returns the counters of sent messages and of their bytes.
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

/// A message between a forwarder and a planner. Each is sent in one authenticated frame.
pub trait Message {
    /// Returns the kind that the message is counted as.
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
