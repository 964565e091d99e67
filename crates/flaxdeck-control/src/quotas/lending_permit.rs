//! Until when a forwarder that stores its state may lend. What is lent must be known to its next run, so the time is
//! stored before anything is lent up to it.

use flaxdeck::{Span, Time};

/// How much further than the next deposit a permit reaches: some reports and a slow disk.
const PERMIT_AHEAD: Span = Span::from_ms(2_000);

/// A permit to lend.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LendingPermit {
    /// Until when lending is permitted; none where no permit is needed.
    until: Option<Time>,
    /// More would have been lent with a longer permit.
    fell_short: bool,
}

impl LendingPermit {
    /// From now on a permit is needed, and there is none.
    pub(super) fn require(&mut self, now: Time) {
        self.until = Some(now);
    }

    /// Whether a deposit may last until that time.
    pub(super) fn covers(&self, until: Time) -> bool {
        self.until.is_none_or(|permitted| permitted >= until)
    }

    /// Something was not lent for want of a permit.
    pub(super) fn record_shortfall(&mut self) {
        self.fell_short = true;
    }

    /// Until when a permit is requested; `lends` tells whether something is lent now.
    pub(super) fn request(
        &mut self,
        now: Time,
        deposit_duration: Span,
        lends: bool,
    ) -> Option<Time> {
        let until = self.until?;
        let ends_soon = until < now + deposit_duration + PERMIT_AHEAD * 0.5;
        let fell_short = std::mem::take(&mut self.fell_short);
        (fell_short || (lends && ends_soon)).then(|| now + deposit_duration + PERMIT_AHEAD)
    }

    /// Lending is permitted until that time, if a permit is needed at all.
    pub(super) fn extend(&mut self, until: Time) {
        self.until = self.until.map(|permitted| permitted.max(until));
    }
}
