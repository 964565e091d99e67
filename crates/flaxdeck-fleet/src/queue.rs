//! The event queue: a timing wheel for what is near, a heap for what is far. Events of one time come out in the order in
//! which they were pushed, so that a run is the same each time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Microseconds of one slot, as a power of two: about half a millisecond, so that a busy fleet has some events a slot.
const SLOT_BITS: u32 = 9;
/// Slots of the wheel, a power of two: together about two seconds, past which little is planned.
const SLOTS: usize = 4096;

/// An event with its place in the order. Only the time and the sequence number order entries.
struct Entry<T> {
    time_us: u64,
    /// Counts the pushes of the queue.
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

/// Events by their times in microseconds. Pushing takes constant time where the event is near, logarithmic where it is
/// far; popping takes constant time and a sort of its slot, amortised.
///
/// Source: the timing wheels of Varghese and Lauck (1987), with an overflow heap in place of further wheels, as in
/// Brown's calendar queues (1988) days far ahead are rare.
pub struct EventQueue<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// The slot that is being emptied, counted from the beginning of time.
    current_slot: u64,
    /// That slot's events, the next one last.
    current: Vec<Entry<T>>,
    /// Events in the wheel, without the current slot's.
    in_wheel: usize,
    /// Events past the wheel's reach.
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
    /// Adds an event at that time; one in the past comes next.
    pub fn push(&mut self, time_us: u64, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = Entry {
            time_us,
            sequence,
            event,
        };
        if entry.slot() <= self.current_slot {
            let place = self.current.partition_point(|other| *other > entry);
            self.current.insert(place, entry);
        } else if entry.slot() < self.wheel_end() {
            self.push_into_wheel(entry);
        } else {
            self.overflow.push(Reverse(entry));
        }
    }

    /// The next event with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        while self.current.is_empty() {
            self.advance()?;
        }
        let entry = self.current.pop()?;
        Some((entry.time_us, entry.event))
    }

    /// Goes on to the next slot that may hold events; none if there are no events.
    fn advance(&mut self) -> Option<()> {
        if self.in_wheel == 0 {
            // Nothing within the wheel: it jumps to what is far.
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

    /// Moves into the wheel what has come within its reach.
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

    /// The first slot past the wheel's reach.
    fn wheel_end(&self) -> u64 {
        self.current_slot + SLOTS as u64
    }

    /// Events that are left.
    pub fn len(&self) -> usize {
        self.current.len() + self.in_wheel + self.overflow.len()
    }

    /// Whether none is left.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The plain heap that the wheel is tested against.
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
    /// Adds an event at that time.
    pub fn push(&mut self, time_us: u64, event: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Entry {
            time_us,
            sequence,
            event,
        }));
    }

    /// The next event with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.time_us, entry.event))
    }
}
