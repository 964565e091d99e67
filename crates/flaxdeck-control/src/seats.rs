//! The planner's memory of seats: which run of a forwarder holds each, and how long something may be out that the seat
//! has lent. A forwarder that returns without a store learns from it that nothing is, and uses its share at once.
//!
//! That is safe for two reasons. Who has met a later run of a seat takes nothing more from an earlier one, so a report
//! that was on its way when that run ended can't lend what the later one already uses. And a planner that has started
//! so lately that an earlier run of its own may have taken something says that it can't tell.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::Pledges;
use crate::messages::{Epoch, SeatId};

/// The most seats and ended runs that are remembered; past that a seat is told that nobody can tell.
const SEATS_MOST: usize = 4_096;

struct Seat {
    run: Epoch,
    /// Nothing that it lent is out after that.
    out_until: Time,
}

pub struct Seats {
    born: Time,
    /// For how long something may be out, from when it was taken.
    pub lasts: Span,
    seats: BTreeMap<SeatId, Seat>,
    /// Runs that a later one has followed, until when they could still lend.
    ended: BTreeMap<Epoch, Time>,
}

impl Seats {
    pub fn new(now: Time, pledges: Pledges) -> Seats {
        // A loan by the lender's clock, as long as that can be by this one's, and told to a third.
        let lasts = pledges.lent * (1.0 + f64::from(pledges.drift) / 1000.0 * 5.0);
        Seats {
            born: now,
            lasts,
            seats: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// A run reports from a seat; false if a later one has been met there, and nothing may be taken from it.
    pub fn met(&mut self, now: Time, seat: SeatId, run: Epoch) -> bool {
        if self.ended.contains_key(&run) {
            return false;
        }
        if seat == SeatId(0) {
            return true;
        }
        if !self.seats.contains_key(&seat) && self.seats.len() >= SEATS_MOST {
            self.seats.retain(|_, seat| seat.out_until > now);
            if self.seats.len() >= SEATS_MOST {
                return true;
            }
        }
        let known = self.seats.entry(seat).or_insert(Seat {
            run,
            out_until: now,
        });
        if known.run != run {
            self.ended.retain(|_, until| *until > now);
            if self.ended.len() < SEATS_MOST {
                self.ended.insert(known.run, now + self.lasts);
            } else {
                // Without room to remember that run its loans can't be kept out: all that it could lend counts as out.
                known.out_until = now + self.lasts;
            }
            known.run = run;
        }
        true
    }

    /// What a seat lends has been taken.
    pub fn lent(&mut self, now: Time, seat: SeatId) {
        let until = now + self.lasts;
        self.seats
            .get_mut(&seat)
            .into_iter()
            .for_each(|seat| seat.out_until = until);
    }

    /// For how long something may still be out that the seat lent; none if this planner can't tell.
    pub fn owes(&self, now: Time, seat: SeatId) -> Option<Span> {
        let seat = self.seats.get(&seat)?;
        (now >= self.born + self.lasts).then(|| seat.out_until.since(now))
    }
}
