//! A link whose bytes are divided evenly among its transfers.

use std::collections::BTreeMap;

/// Transfers by the point in virtual time at which each is done: virtual time runs the slower the more transfers
/// there are, so a transfer that comes or goes changes nothing of the others' points (Parekh and Gallager's
/// generalised processor sharing, 1993). Logarithmic in the transfers, where plain recomputation is linear.
#[derive(Default)]
pub struct Link {
    /// KB a millisecond.
    pace: f64,
    /// KB that each transfer has had since the beginning.
    virtual_kb: f64,
    /// Milliseconds.
    at: f64,
    /// By virtual end in millionths of a KB, and number.
    ends: BTreeMap<(u64, u64), ()>,
    places: BTreeMap<u64, u64>,
    next: u64,
}

impl Link {
    /// A link that carries so many KB a millisecond.
    pub fn new(pace: f64) -> Link {
        Link {
            pace,
            ..Link::default()
        }
    }

    /// Transfers under way.
    pub fn transfers(&self) -> usize {
        self.ends.len()
    }

    fn advance(&mut self, now: f64) {
        let passed = (now - self.at).max(0.0);
        self.at = self.at.max(now);
        if !self.ends.is_empty() {
            self.virtual_kb += passed * self.pace / self.ends.len() as f64;
        }
    }

    /// A transfer of so many KB begins; gives its number.
    pub fn begin(&mut self, now: f64, kb: f64) -> u64 {
        self.advance(now);
        let number = self.next;
        self.next += 1;
        let end = ((self.virtual_kb + kb) * 1e6) as u64;
        self.ends.insert((end, number), ());
        self.places.insert(number, end);
        number
    }

    /// A transfer is broken off.
    pub fn stop(&mut self, now: f64, number: u64) {
        self.advance(now);
        if let Some(end) = self.places.remove(&number) {
            self.ends.remove(&(end, number));
        }
    }

    /// When the next transfer ends if none comes or goes before.
    pub fn next_end(&self) -> Option<f64> {
        let ((end, _), ()) = self.ends.first_key_value()?;
        let left = (*end as f64 / 1e6 - self.virtual_kb).max(0.0);
        Some(self.at + left * self.ends.len() as f64 / self.pace)
    }

    /// The transfers that have ended by now.
    pub fn ended(&mut self, now: f64) -> Vec<u64> {
        self.advance(now);
        let mut ended = Vec::new();
        while let Some(((end, number), ())) = self.ends.first_key_value() {
            // Half a byte's rounding must not leave one for a further look.
            if *end as f64 / 1e6 > self.virtual_kb + 1e-3 {
                break;
            }
            let (end, number) = (*end, *number);
            self.ends.remove(&(end, number));
            self.places.remove(&number);
            ended.push(number);
        }
        ended
    }
}
