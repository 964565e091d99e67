//! The greatest age of a cached copy that may answer a request.

use crate::{GroupId, Request, Span};

use super::DecisionEngine;
use super::class_statistics::ClassStatistics;
use super::constants::AGE_ROUNDING;
use super::state::Purge;

impl Purge {
    fn covers(&self, request: &Request) -> bool {
        match self.object {
            Some(object) => object == request.object,
            None => self.group == GroupId::ALL || self.group == request.group,
        }
    }
}

impl DecisionEngine {
    /// Returns the age limit of copies for an attempt, or `None` if the class's own limit applies.
    ///
    /// Guards against purged copies that are still cached somewhere: no copy from before the latest purge may be used.
    /// Where only a hit is requested, a copy past its fresh time is accepted up to the class's grace: it is worth more
    /// than no answer.
    pub(super) fn max_copy_age(
        &self,
        request: &Request,
        class: &ClassStatistics,
        without_fill: bool,
    ) -> Option<Span> {
        let since_purge = self
            .purges
            .iter()
            .filter(|purge| purge.covers(request))
            .map(|purge| {
                let age = self.now.since(purge.made);
                age.saturating_sub(AGE_ROUNDING).max(AGE_ROUNDING)
            })
            .chain(self.unknown_purge_limit())
            .min();
        let fresh = class.terms.fresh;
        let grace = if without_fill {
            class.terms.stale_grace
        } else {
            Span::ZERO
        };
        let limit = match (since_purge, fresh.map(|fresh| fresh + grace)) {
            (Some(since_purge), Some(of_class)) => Some(since_purge.min(of_class)),
            (since_purge, of_class) => since_purge.or(of_class),
        };
        limit.filter(|limit| Some(*limit) != fresh)
    }
}
