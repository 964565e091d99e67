//! Holds the sending halves of the connections to planners.

use std::cell::RefCell;
use std::collections::BTreeSet;

use flaxdeck_channel::connection::Sender;
use flaxdeck_channel::messages::FromForwarder;
use flaxdeck_control::membership::PlannerId;

/// Owns the sending half of each planner's connection, which the planner's connection task sets and clears.
pub(super) struct PlannerConnections {
    /// Indexed by the planner's number; none while it is not connected.
    senders: RefCell<Vec<Option<Sender>>>,
    /// Planners whose last connection attempt failed, or whose connection has ended.
    unreachable: RefCell<BTreeSet<PlannerId>>,
}

impl PlannerConnections {
    /// Creates the table for `count` planners, none of them connected.
    pub(super) fn new(count: usize) -> PlannerConnections {
        PlannerConnections {
            senders: RefCell::new((0..count).map(|_| None).collect()),
            unreachable: RefCell::default(),
        }
    }

    /// Returns the number of open connections.
    pub(super) fn connected(&self) -> usize {
        self.senders.borrow().iter().flatten().count()
    }

    /// Adds a connection that was opened.
    pub(super) fn opened(&self, planner: PlannerId, sender: Sender) {
        self.unreachable.borrow_mut().remove(&planner);
        self.senders.borrow_mut()[planner.0 as usize] = Some(sender);
    }

    /// Removes a connection that has ended.
    pub(super) fn closed(&self, planner: PlannerId) {
        self.senders.borrow_mut()[planner.0 as usize] = None;
    }

    /// Marks a planner as unreachable. Returns true if that makes all planners unreachable.
    pub(super) fn mark_unreachable(&self, planner: PlannerId) -> bool {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.insert(planner) && unreachable.len() == self.senders.borrow().len()
    }

    /// Sends a message to a planner if it is connected.
    pub(super) fn send(&self, planner: PlannerId, message: &FromForwarder) {
        if let Some(Some(sender)) = self.senders.borrow_mut().get_mut(planner.0 as usize) {
            sender.send(message);
        }
    }

    /// Calls `act` for each planner that is connected.
    pub(super) fn for_each_connected(&self, mut act: impl FnMut(PlannerId, &mut Sender)) {
        for (number, sender) in self.senders.borrow_mut().iter_mut().enumerate() {
            if let Some(sender) = sender {
                act(PlannerId(number as u32), sender);
            }
        }
    }
}
