//! The permit up to which a forwarder that stores its state may lend. The next run must know until when deposits of
//! this run may last, so the end of the permit is stored before any deposit lasts up to it.

use flaxdeck::{Span, Time};

/// How far a permit extends beyond the end of the next deposit: several report intervals and a slow disk write.
const PERMIT_MARGIN: Span = Span::from_ms(2_000);

/// A permit to lend up to a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LendingPermit {
    /// Until when lending is permitted; none if no permit is needed.
    until: Option<Time>,
    /// Whether a deposit was withheld because the permit did not cover it.
    deposit_withheld: bool,
}

impl LendingPermit {
    /// Requires a permit from now on; there is none yet.
    pub(super) fn require(&mut self, now: Time) {
        self.until = Some(now);
    }

    /// Returns whether a deposit may last until `until`.
    pub(super) fn covers(&self, until: Time) -> bool {
        self.until.is_none_or(|permitted| permitted >= until)
    }

    /// Records that a deposit was withheld because the permit did not cover it.
    pub(super) fn record_withheld_deposit(&mut self) {
        self.deposit_withheld = true;
    }

    /// Returns until when a permit is requested, if one is needed now. `lends` tells whether any amount is currently
    /// lent.
    pub(super) fn request(
        &mut self,
        now: Time,
        deposit_duration: Span,
        lends: bool,
    ) -> Option<Time> {
        let until = self.until?;
        let ends_soon = until < now + deposit_duration + PERMIT_MARGIN * 0.5;
        let deposit_withheld = std::mem::take(&mut self.deposit_withheld);
        (deposit_withheld || (lends && ends_soon)).then(|| now + deposit_duration + PERMIT_MARGIN)
    }

    /// Extends the permit to `until`, if permits are required.
    pub(super) fn extend(&mut self, until: Time) {
        self.until = self.until.map(|permitted| permitted.max(until));
    }
}
