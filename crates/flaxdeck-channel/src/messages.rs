//! What a forwarder and a planner send each other: one type each way, so that a frame tells what it holds.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_distribution::messages::{Delivery, Subscription};
use serde::{Deserialize, Serialize};

/// What a forwarder sends to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromForwarder {
    /// What it has observed, lends and asks for; answered with guidance.
    Report(Report),
    /// Which events it wants to be sent.
    Subscribe(Subscription),
}

/// What a planner sends to a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPlanner {
    /// The answer to a report: what it grants, and what it knows.
    Guidance(Guidance),
    /// Events, to a forwarder that subscribed to them.
    Delivery(Delivery),
}
