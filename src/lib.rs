//! flaxdeck: which cache gets a request, which source fills a miss, and when to stop trying.
//!
//! [`decision::DecisionEngine`] holds every decision of one dispatcher; [`words`] holds the plain types that go in and
//! come out; [`polled::PolledEngine`] serves callers that give each request a task of its own.

pub mod decision;
pub mod hash;
pub mod polled;
pub mod words;
