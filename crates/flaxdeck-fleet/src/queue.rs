//! The event queue: a timing wheel for events in the near future and a heap for later ones. Events with the same time
//! are popped in the order in which they were pushed, so that runs are deterministic.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The length of a slot is 2^9 = 512 microseconds, so that each slot holds only a few events even in a busy fleet.
const SLOT_BITS: u32 = 9;
/// The number of slots of the wheel, a power of two. They cover about 2 s; few events are scheduled further ahead.
const SLOTS: usize = 4096;

/// An event in the queue. Entries are ordered by time, then by sequence number.
struct Entry<T> {
    time_us: u64,
    /// The number of events pushed before this one.
    sequence: u64,
    event: T,
}

impl<T> Entry<T> {
    fn order(&self) -> (u64, u64) {
        (self.time_us, self.sequence)
    }

    fn slot(&self) -> u64 {
        self.time_us >> SLOT_BITS
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.order() == other.order()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> Ordering {
        self.order().cmp(&other.order())
    }
}

/// A priority queue of events by their times in microseconds. Pushing takes constant time for events within the wheel's
/// range and logarithmic time for later ones; popping takes constant time plus the amortised cost of sorting its slot.
///
/// Based on the timing wheels of Varghese and Lauck (1987), with an overflow heap in place of further wheels because
/// few events lie far ahead, as Brown (1988) assumes for calendar queues.
pub struct EventQueue<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// The number of the slot whose events are being popped; slot 0 begins at time 0.
    current_slot: u64,
    /// The remaining events of the current slot, in reverse order: the next event is the last element.
    current: Vec<Entry<T>>,
    /// The number of events in the wheel, without those of the current slot.
    in_wheel: usize,
    /// Events after the wheel's range.
    overflow: BinaryHeap<Reverse<Entry<T>>>,
    next_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            current_slot: 0,
            current: Vec::new(),
            in_wheel: 0,
            overflow: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event at `time_us`. An event before the current slot is popped before all later ones.
    pub fn push(&mut self, time_us: u64, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = Entry {
            time_us,
            sequence,
            event,
        };
        if entry.slot() <= self.current_slot {
            let index = self.current.partition_point(|other| *other > entry);
            self.current.insert(index, entry);
        } else if entry.slot() < self.wheel_end() {
            self.push_into_wheel(entry);
        } else {
            self.overflow.push(Reverse(entry));
        }
    }

    /// Removes the next event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        while self.current.is_empty() {
            self.advance()?;
        }
        let entry = self.current.pop()?;
        Some((entry.time_us, entry.event))
    }

    /// Moves to the next slot that may hold events. Returns `None` if the queue is empty.
    fn advance(&mut self) -> Option<()> {
        if self.in_wheel == 0 {
            // The wheel is empty: continue at the first event of the overflow heap.
            let Reverse(first) = self.overflow.peek()?;
            self.current_slot = first.slot();
        } else {
            self.current_slot += 1;
            let slot = &mut self.slots[self.current_slot as usize % SLOTS];
            std::mem::swap(slot, &mut self.current);
            self.in_wheel -= self.current.len();
        }
        self.refill_from_overflow();
        self.current.sort_unstable_by(|a, b| b.cmp(a));
        Some(())
    }

    /// Moves events that now lie within the wheel's range from the overflow heap into the wheel.
    fn refill_from_overflow(&mut self) {
        let end = self.wheel_end();
        while let Some(Reverse(first)) = self.overflow.peek() {
            if first.slot() >= end {
                return;
            }
            let Some(Reverse(entry)) = self.overflow.pop() else {
                return;
            };
            if entry.slot() <= self.current_slot {
                self.current.push(entry);
            } else {
                self.push_into_wheel(entry);
            }
        }
    }

    fn push_into_wheel(&mut self, entry: Entry<T>) {
        self.slots[entry.slot() as usize % SLOTS].push(entry);
        self.in_wheel += 1;
    }

    /// Returns the number of the first slot after the wheel's range.
    fn wheel_end(&self) -> u64 {
        self.current_slot + SLOTS as u64
    }

    /// Returns the number of events in the queue.
    pub fn len(&self) -> usize {
        self.current.len() + self.in_wheel + self.overflow.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A queue with the same order made of a single binary heap: the reference that tests compare [`EventQueue`] with.
pub struct HeapQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    next_sequence: u64,
}

impl<T> Default for HeapQueue<T> {
    fn default() -> HeapQueue<T> {
        HeapQueue {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> HeapQueue<T> {
    /// Adds an event at `time_us`.
    pub fn push(&mut self, time_us: u64, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Entry {
            time_us,
            sequence,
            event,
        }));
    }

    /// Removes the next event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.time_us, entry.event))
    }
}
