//! A link whose bandwidth is divided evenly among its transfers.

use std::collections::{BTreeMap, BTreeSet};

/// Virtual ends are kept in millionths of a KB, so that they can be ordered.
const GRAINS_PER_KB: f64 = 1e6;
/// KB of rounding that must not leave a transfer open for a further step: half a byte and some.
const ROUNDING_KB: f64 = 1e-3;

/// A number that names a transfer of one link, given in the order of their starts.
pub type TransferId = u64;

/// When a transfer is done, in virtual time, then its id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TransferEnd {
    virtual_grains: u64,
    transfer: TransferId,
}

impl TransferEnd {
    fn virtual_kb(self) -> f64 {
        self.virtual_grains as f64 / GRAINS_PER_KB
    }
}

/// Transfers by the point in virtual time at which each is done: virtual time runs the slower the more transfers
/// there are, so a transfer that comes or goes changes nothing of the others' points (Parekh and Gallager's
/// generalised processor sharing, 1993). Logarithmic in the transfers, where plain recomputation is linear.
#[derive(Default)]
pub struct Link {
    kb_per_ms: f64,
    /// KB that each transfer has had since the beginning.
    virtual_kb: f64,
    updated_ms: f64,
    ends: BTreeSet<TransferEnd>,
    ends_by_transfer: BTreeMap<TransferId, TransferEnd>,
    next_transfer: TransferId,
}

impl Link {
    /// A link that carries so many KB a millisecond.
    pub fn new(kb_per_ms: f64) -> Link {
        Link {
            kb_per_ms,
            ..Link::default()
        }
    }

    /// Transfers under way.
    pub fn transfers(&self) -> usize {
        self.ends.len()
    }

    fn advance(&mut self, now_ms: f64) {
        let passed_ms = (now_ms - self.updated_ms).max(0.0);
        self.updated_ms = self.updated_ms.max(now_ms);
        if !self.ends.is_empty() {
            self.virtual_kb += passed_ms * self.kb_per_ms / self.ends.len() as f64;
        }
    }

    /// Starts a transfer of so many KB.
    pub fn start(&mut self, now_ms: f64, kb: f64) -> TransferId {
        self.advance(now_ms);
        let transfer = self.next_transfer;
        self.next_transfer += 1;
        let end = TransferEnd {
            virtual_grains: ((self.virtual_kb + kb) * GRAINS_PER_KB) as u64,
            transfer,
        };
        self.ends.insert(end);
        self.ends_by_transfer.insert(transfer, end);
        transfer
    }

    /// Breaks a transfer off; one that has ended is left alone.
    pub fn cancel(&mut self, now_ms: f64, transfer: TransferId) {
        self.advance(now_ms);
        if let Some(end) = self.ends_by_transfer.remove(&transfer) {
            self.ends.remove(&end);
        }
    }

    /// When the next transfer ends if none starts or is cancelled before, in milliseconds.
    pub fn next_end(&self) -> Option<f64> {
        let end = self.ends.first()?;
        let left_kb = (end.virtual_kb() - self.virtual_kb).max(0.0);
        Some(self.updated_ms + left_kb * self.ends.len() as f64 / self.kb_per_ms)
    }

    /// Takes out the transfers that have ended by now.
    pub fn take_ended(&mut self, now_ms: f64) -> Vec<TransferId> {
        self.advance(now_ms);
        let mut ended = Vec::new();
        while let Some(end) = self.ends.first().copied() {
            if end.virtual_kb() > self.virtual_kb + ROUNDING_KB {
                break;
            }
            self.ends.remove(&end);
            self.ends_by_transfer.remove(&end.transfer);
            ended.push(end.transfer);
        }
        ended
    }
}
