//! The operators' own file, beside the platform's: S-expressions, checked as a whole before anything starts. A file with a
//! fault changes nothing. `docs/plan-file.md` explains its words.
//!
//! - [`read`]: the [`Plan`] that a file tells, or all of its [`Fault`]s.
//! - [`form`]: forms with their places, for other files of the same kind.
//!
//! ```
//! let text = r#"(plan (key-file "shared.key")
//!                     (planners (planner (name p1) (listen "127.0.0.1:7501"))))"#;
//! let plan = flaxdeck_plan::read("site.plan", text).expect("it has no fault");
//! assert_eq!(plan.planners[0].name, "p1");
//! assert_eq!(plan.grant_ms, 1_200);
//!
//! let faults = flaxdeck_plan::read("site.plan", "(plan (planers))").unwrap_err();
//! assert!(faults.iter().any(|fault| fault.remedy == "write planners"));
//! ```

pub mod form;
mod plan;
mod reader;

pub use form::{Fault, Place};
pub use plan::{EventDelivery, LogFormat, MAX_PLANNERS, Plan, Planner, WithoutContact};
pub use reader::read;
