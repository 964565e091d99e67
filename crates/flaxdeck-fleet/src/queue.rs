//! The event queue: a wheel of short slots for what is near, a heap for what is far. Events of one time come out in
//! the order in which they were put in, so that a run is the same each time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds of one slot, as a power of two: about half a millisecond, so that a busy fleet has some events a slot.
const SLOT_BITS: u32 = 9;
/// Slots of the wheel, a power of two: together about two seconds, past which little is planned.
const SLOTS: usize = 4096;

type Entry<T> = (u64, u64, Held<T>);

/// Compares as equal to all: only the time and the number order events.
struct Held<T>(T);

impl<T> PartialEq for Held<T> {
    fn eq(&self, _: &Held<T>) -> bool {
        true
    }
}
impl<T> Eq for Held<T> {}
impl<T> PartialOrd for Held<T> {
    fn partial_cmp(&self, other: &Held<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Held<T> {
    fn cmp(&self, _: &Held<T>) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// Events by their times in microseconds. Putting one in takes constant time where it is near, logarithmic where it
/// is far; taking one out constant time and a sort of its slot, amortised.
///
/// Source: the timing wheels of Varghese and Lauck (1987), with an overflow heap in place of further wheels, as in
/// Brown's calendar queues (1988) days far ahead are rare.
pub struct Queue<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// The slot that is being emptied, counted from the beginning of time; its events are sorted, the next one last.
    at: u64,
    current: Vec<Entry<T>>,
    near: usize,
    far: BinaryHeap<Reverse<Entry<T>>>,
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        Queue {
            slots,
            at: 0,
            current: Vec::new(),
            near: 0,
            far: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> Queue<T> {
    /// An event at that time; one in the past comes next.
    pub fn put(&mut self, time: u64, event: T) {
        let entry = (time, self.next, Held(event));
        self.next += 1;
        let slot = (time >> SLOT_BITS).max(self.at);
        if slot == self.at {
            let place = self
                .current
                .partition_point(|other| (other.0, other.1) > (entry.0, entry.1));
            self.current.insert(place, entry);
        } else if slot < self.at + SLOTS as u64 {
            self.slots[slot as usize % SLOTS].push(entry);
            self.near += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// The next event with its time.
    pub fn take(&mut self) -> Option<(u64, T)> {
        while self.current.is_empty() {
            if self.near == 0 {
                // Nothing within the wheel: it jumps to what is far.
                let Reverse(first) = self.far.peek()?;
                self.at = first.0 >> SLOT_BITS;
            } else {
                self.at += 1;
                let slot = &mut self.slots[self.at as usize % SLOTS];
                std::mem::swap(slot, &mut self.current);
                self.near -= self.current.len();
            }
            self.bring_near();
            self.current
                .sort_unstable_by_key(|entry| Reverse((entry.0, entry.1)));
        }
        self.current
            .pop()
            .map(|(time, _, Held(event))| (time, event))
    }

    /// Moves into the wheel what has come within its reach.
    fn bring_near(&mut self) {
        let end = self.at + SLOTS as u64;
        while self
            .far
            .peek()
            .is_some_and(|Reverse(first)| first.0 >> SLOT_BITS < end)
        {
            let Some(Reverse(entry)) = self.far.pop() else {
                return;
            };
            let slot = entry.0 >> SLOT_BITS;
            if slot <= self.at {
                self.current.push(entry);
            } else {
                self.slots[slot as usize % SLOTS].push(entry);
                self.near += 1;
            }
        }
    }

    /// Events that are left.
    pub fn len(&self) -> usize {
        self.current.len() + self.near + self.far.len()
    }

    /// Whether none is left.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The plain queue that the wheel is measured and tested against.
pub struct Plain<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    next: u64,
}

impl<T> Default for Plain<T> {
    fn default() -> Plain<T> {
        Plain {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> Plain<T> {
    /// An event at that time.
    pub fn put(&mut self, time: u64, event: T) {
        self.heap.push(Reverse((time, self.next, Held(event))));
        self.next += 1;
    }

    /// The next event with its time.
    pub fn take(&mut self) -> Option<(u64, T)> {
        self.heap
            .pop()
            .map(|Reverse((time, _, Held(event)))| (time, event))
    }
}
