//! The capacity page: the resources that the control plane needs at the target size. Every figure on it is computed
//! from the fitted lines, the target file and the limits in the code; none is written by hand.

pub mod estimate;
pub mod events;
pub mod faults;
pub mod figures;
pub mod page;
pub mod rows;
pub mod state;
