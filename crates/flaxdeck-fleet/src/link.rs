//! A link whose bandwidth is divided evenly among its transfers.

use std::collections::{BTreeMap, BTreeSet};

/// Virtual end times are stored as whole millionths of a KB, because `f64` does not implement `Ord`.
const GRAINS_PER_KB: f64 = 1e6;
/// A transfer with at most this many KB left counts as ended, so that rounding errors do not keep it open: 1 byte.
const ROUNDING_KB: f64 = 1e-3;

/// The id of a transfer on a link; numbered in the order in which transfers start.
pub type TransferId = u64;

/// The virtual time at which a transfer ends, with its id. Ordered by time, then by id.
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

/// A link that divides its bandwidth evenly among its transfers.
///
/// Implements generalised processor sharing (Parekh and Gallager 1993): transfers are ordered by the virtual time at
/// which they end. Virtual time advances more slowly the more transfers there are, so a transfer that starts or ends
/// leaves the virtual end times of the others unchanged. Operations are logarithmic in the number of transfers, where
/// recomputing every transfer would be linear.
#[derive(Default)]
pub struct Link {
    kb_per_ms: f64,
    /// Virtual time: the KB that a transfer open since the beginning would have received.
    virtual_kb: f64,
    updated_ms: f64,
    ends: BTreeSet<TransferEnd>,
    ends_by_transfer: BTreeMap<TransferId, TransferEnd>,
    next_transfer: TransferId,
}

impl Link {
    /// Creates an idle link that carries `kb_per_ms` KB per millisecond.
    pub fn new(kb_per_ms: f64) -> Link {
        Link {
            kb_per_ms,
            ..Link::default()
        }
    }

    /// Returns the number of transfers in progress.
    pub fn transfers(&self) -> usize {
        self.ends.len()
    }

    /// Advances virtual time to `now_ms`.
    fn advance(&mut self, now_ms: f64) {
        let passed_ms = (now_ms - self.updated_ms).max(0.0);
        self.updated_ms = self.updated_ms.max(now_ms);
        if !self.ends.is_empty() {
            self.virtual_kb += passed_ms * self.kb_per_ms / self.ends.len() as f64;
        }
    }

    /// Starts a transfer of `kb` KB.
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

    /// Cancels a transfer; has no effect if it has already ended.
    pub fn cancel(&mut self, now_ms: f64, transfer: TransferId) {
        self.advance(now_ms);
        if let Some(end) = self.ends_by_transfer.remove(&transfer) {
            self.ends.remove(&end);
        }
    }

    /// Returns the time in milliseconds at which the next transfer ends, provided that no transfer starts or is
    /// cancelled before then.
    pub fn next_end(&self) -> Option<f64> {
        let end = self.ends.first()?;
        let left_kb = (end.virtual_kb() - self.virtual_kb).max(0.0);
        Some(self.updated_ms + left_kb * self.ends.len() as f64 / self.kb_per_ms)
    }

    /// Removes and returns the transfers that have ended by `now_ms`.
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
