//! All that one call of the decision engine asks of its caller.

use crate::{Attempt, Cancel, Final, HostId, Time};

/// All that one call asks of the caller, applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    pub cancels: Vec<Cancel>,
    pub attempts: Vec<Attempt>,
    pub finals: Vec<Final>,
    /// Ask these hosts for their load; what they tell is due as a [`LoadReport`](crate::LoadReport).
    pub looks: Vec<HostId>,
    /// Call `wake` at this time; earlier wishes stand.
    pub wake: Option<Time>,
}
