//! What the two sides of a sealed conversation say: one type each way, so that a frame tells what it holds.

use flaxdeck_control::messages::{Guidance, Report};
use flaxdeck_distribution::messages::{Delivery, Subscription};
use serde::{Deserialize, Serialize};

/// What a forwarder says to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromForwarder {
    /// What it has seen, lends and wishes; answered with guidance.
    Report(Report),
    /// Which events it wants to be told.
    Subscribe(Subscription),
}

/// What a planner says to a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPlanner {
    Guidance(Guidance),
    /// Events, to a forwarder that subscribed to them.
    Delivery(Delivery),
}
