//! The cache of a host: copies of objects, evicted by rank and last use.

use std::collections::{BTreeMap, HashMap};

/// The order in which copies are evicted: the lowest rank first, and within a rank the least recently used first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    rank: u8,
    /// The value of `Cache::uses` when this copy was last used.
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedCopy {
    order: EvictionOrder,
    made_ms: f64,
    kb: f64,
}

/// A cache of bounded size in KB.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    capacity_kb: f64,
    used_kb: f64,
    copies: HashMap<u64, CachedCopy>,
    /// The cached objects in eviction order.
    eviction: BTreeMap<EvictionOrder, u64>,
    /// The number of hits and inserts so far.
    uses: u64,
}

impl Cache {
    /// Creates an empty cache that holds up to `capacity_kb`.
    pub fn new(capacity_kb: f64) -> Cache {
        Cache {
            capacity_kb,
            ..Cache::default()
        }
    }

    /// Returns the size of all copies in KB.
    pub fn used_kb(&self) -> f64 {
        self.used_kb
    }

    /// Removes all copies.
    pub fn clear(&mut self) {
        *self = Cache::new(self.capacity_kb);
    }

    /// Returns the time at which the object's copy was made, or `None` if there is no copy made at `oldest_ms` or
    /// later. A hit counts as a use of the copy.
    pub fn lookup(&mut self, object: u64, oldest_ms: f64) -> Option<f64> {
        let copy = self.copies.get_mut(&object)?;
        if copy.made_ms < oldest_ms {
            return None;
        }
        self.eviction.remove(&copy.order);
        self.uses += 1;
        copy.order.last_use = self.uses;
        self.eviction.insert(copy.order, object);
        Some(copy.made_ms)
    }

    /// Removes copies made before `before_ms`.
    pub fn purge(&mut self, before_ms: f64) {
        let is_old = |(_, copy): &(&u64, &CachedCopy)| copy.made_ms < before_ms;
        let old = self.copies.iter().filter(is_old);
        let objects: Vec<u64> = old.map(|(object, _)| *object).collect();
        for object in objects {
            self.remove(object);
        }
    }

    /// Inserts a copy, replacing an earlier one of the same object and evicting other copies until it fits. A copy of
    /// rank 0 or larger than the whole cache is not inserted.
    pub fn insert(&mut self, object: u64, rank: u8, made_ms: f64, kb: f64) {
        self.remove(object);
        if kb > self.capacity_kb || rank == 0 {
            return;
        }
        while self.used_kb + kb > self.capacity_kb {
            let Some((_, evicted)) = self.eviction.pop_first() else {
                break;
            };
            self.used_kb -= self.copies.remove(&evicted).map_or(0.0, |copy| copy.kb);
        }
        self.uses += 1;
        let order = EvictionOrder {
            rank,
            last_use: self.uses,
        };
        self.copies
            .insert(object, CachedCopy { order, made_ms, kb });
        self.eviction.insert(order, object);
        self.used_kb += kb;
    }

    fn remove(&mut self, object: u64) {
        if let Some(copy) = self.copies.remove(&object) {
            self.eviction.remove(&copy.order);
            self.used_kb -= copy.kb;
        }
    }
}
