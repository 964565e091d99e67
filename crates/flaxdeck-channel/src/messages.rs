//! Messages between a forwarder and a planner: one enum for each direction, whose variant says what a frame holds.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_distribution::messages::{Delivery, Subscription};
use serde::{Deserialize, Serialize};

/// A message from a forwarder to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromForwarder {
    /// Observations of hosts, and the quotas that the forwarder lends and needs. Answered with guidance.
    Report(Report),
    /// Which events the planner is to send.
    Subscribe(Subscription),
}

/// A message from a planner to a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPlanner {
    /// Granted quotas, ratings of hosts and relayed events: the answer to a report, or sent between reports.
    Guidance(Guidance),
    /// Events, sent to a forwarder that subscribed to them.
    Delivery(Delivery),
}
