//! All that one call of the decision engine asks of its caller.

use crate::{Attempt, Cancel, Final, HostId, Time};

/// All that one call asks of the caller, applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel.
    pub cancels: Vec<Cancel>,
    /// Attempts to start; each request's are numbered from 0 in the order in which they come.
    pub attempts: Vec<Attempt>,
    /// Final answers to give.
    pub finals: Vec<Final>,
    /// Hosts to poll for their load; what they tell is due as a [`LoadReport`](crate::LoadReport).
    pub looks: Vec<HostId>,
    /// Call `wake` at this time; the times named by earlier calls hold on.
    pub wake: Option<Time>,
}
