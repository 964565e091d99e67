//! Reads the plan: the operator's own file, beside the configuration that the platform writes. It consists of
//! S-expressions and is checked completely before it takes effect; a file with a fault is not used at all.
//! `docs/plan-file.md` explains its words.
//!
//! - [`read`]: returns the [`Plan`] that a file describes, or all of its [`Fault`]s.
//! - [`form`]: parsing of forms with their positions, for other files in S-expressions too.
//!
//! ```
//! let text = r#"(plan (key-file "shared.key")
//!                     (planners (planner (name p1) (listen "127.0.0.1:7501"))))"#;
//! let plan = flaxdeck_plan::read("site.plan", text).expect("a file without faults");
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
