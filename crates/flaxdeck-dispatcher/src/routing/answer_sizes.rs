//! Compares the sizes that clients state with the bytes of the answers.
//!
//! The platform sends the bytes of an object in proportion to its size in KB; the configuration's paces of one answer,
//! in bytes and in KB a second, give the proportion.

use flaxdeck::{ClassId, DeploymentTerms};
use flaxdeck_net::budget::MAX_OBJECT;

/// Bytes by which an answer may exceed its stated size, as hosts may send small objects with some padding.
const MAX_PADDING: f64 = 1024.0;
/// Factor by which an answer may exceed its stated size, as sizes and bytes are rounded.
const MAX_EXCESS: f64 = 1.1;
/// Factor by which an answer may fall short of its stated size. A size that is stated too large gets its client less.
const MAX_SHORTFALL: f64 = 2.0;

/// Verifies the sizes of answers.
pub(super) struct AnswerSizes {
    /// Bytes that are sent for one KB; none if the configuration does not tell.
    bytes_per_kb: Option<f64>,
    /// By class, whether the answers are the objects that the sizes are of.
    carries_objects: Vec<bool>,
}

impl AnswerSizes {
    /// Creates a verifier for a pace of one answer in bytes a second, if it is known.
    pub(super) fn new(flow_bytes_per_s: Option<f64>, terms: &DeploymentTerms) -> AnswerSizes {
        let bytes_per_kb = flow_bytes_per_s
            .map(|bytes| bytes / terms.client_kb_per_s)
            .filter(|ratio| ratio.is_finite() && *ratio > 0.0);
        AnswerSizes {
            bytes_per_kb,
            carries_objects: terms
                .classes
                .iter()
                .map(|class| !class.goes_through)
                .collect(),
        }
    }

    /// Returns a stated size in KB, limited to that of the largest object that the protocol allows.
    pub(super) fn limited(&self, stated_kb: Option<f64>) -> Option<f64> {
        let most_kb = self
            .bytes_per_kb
            .map_or(f64::INFINITY, |ratio| MAX_OBJECT as f64 / ratio);
        stated_kb.map(|kb| kb.min(most_kb))
    }

    /// Returns the size in KB of an answer of that many bytes, if it contradicts the stated one.
    pub(super) fn contradiction(
        &self,
        class: ClassId,
        stated_kb: Option<f64>,
        bytes: usize,
    ) -> Option<f64> {
        let bytes_per_kb = self
            .bytes_per_kb
            .filter(|_| self.carries_objects[class.0])?;
        let expected = self.limited(stated_kb)? * bytes_per_kb;
        let bytes = bytes as f64;
        let is_larger = bytes > expected * MAX_EXCESS + MAX_PADDING;
        let is_smaller = bytes * MAX_SHORTFALL + MAX_PADDING < expected;
        (is_larger || is_smaller).then_some(bytes / bytes_per_kb)
    }
}
