//! The actions that a call of the decision engine returns to its caller.

use crate::{Attempt, Cancel, Final, HostId, Time};

/// The actions that the caller carries out after a call, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel.
    pub cancels: Vec<Cancel>,
    /// Attempts to start. The attempts of a request are numbered from 0 in the order in which they are returned.
    pub attempts: Vec<Attempt>,
    /// Final answers to give.
    pub finals: Vec<Final>,
    /// Hosts to poll for their load; the caller reports each answer as a [`LoadReport`](crate::LoadReport).
    pub looks: Vec<HostId>,
    /// When to call `wake`, in addition to the times that earlier calls returned.
    pub wake: Option<Time>,
}
