//! flaxdeck: which cache gets a request, which source fills a miss, and when to stop trying.
//!
//! [`brain::Brain`] holds every decision of one dispatcher; [`words`] holds the plain types that
//! go in and come out; [`facade`] is the brain for callers that give each request a task.

pub mod brain;
pub mod facade;
pub mod hash;
mod state;
pub mod words;
