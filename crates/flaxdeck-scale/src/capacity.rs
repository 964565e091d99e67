//! The capacity page: what the control plane takes at the size of the target, computed from fitted lines, the target's file
//! and the code's own bounds. No figure of it is typed.

pub mod estimate;
pub mod events;
pub mod faults;
pub mod figures;
pub mod page;
pub mod rows;
pub mod state;
