//! The planner's memory of seats: which run of a forwarder holds each, and how long something may be out that the seat
//! has lent. A forwarder that returns without a store learns from it that nothing is, and uses its share at once.
//!
//! That is safe for two reasons. Who has met a later run of a seat takes nothing more from an earlier one, so a report
//! that was on its way when that run ended can't lend what the later one already uses. And a planner that has started
//! so lately that an earlier run of its own may have taken something says that it can't tell.

use std::collections::BTreeMap;

use flaxdeck::words::{Span, Time};

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
    lasts: Span,
    seats: BTreeMap<SeatId, Seat>,
    /// Runs that a later one has followed, until when they could still lend.
    ended: BTreeMap<Epoch, Time>,
}

impl Seats {
    pub fn new(now: Time, pledges: Pledges) -> Seats {
        // A loan by the lender's clock, as long as that can be by this one's, and told to a third.
        let lasts = pledges.lent * (1.0 + f64::from(pledges.drift) / 1000.0 * 5.0);
        Seats { born: now, lasts, seats: BTreeMap::new(), ended: BTreeMap::new() }
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
        let known = self.seats.entry(seat).or_insert(Seat { run, out_until: now });
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
        self.seats.get_mut(&seat).into_iter().for_each(|seat| seat.out_until = until);
    }

    /// For how long something may still be out that the seat lent; none if this planner can't tell.
    pub fn owes(&self, now: Time, seat: SeatId) -> Option<Span> {
        let seat = self.seats.get(&seat)?;
        (now >= self.born + self.lasts).then(|| seat.out_until.since(now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time::at_ms(10_000.0 + ms as f64)
    }

    fn seats() -> (Seats, Span) {
        let pledges = Pledges::of(Span::from_ms(2_000), Span::from_ms(1_200), 10);
        let seats = Seats::new(at(0), pledges);
        let lasts = seats.lasts;
        assert!(lasts > pledges.forwarder_waits());
        (seats, lasts)
    }

    const SEAT: SeatId = SeatId(5);

    #[test]
    fn a_planner_that_has_just_started_can_not_tell() {
        let (mut seats, lasts) = seats();
        assert!(seats.met(at(10), SEAT, Epoch(1)));
        assert_eq!(seats.owes(at(10), SEAT), None);
        assert_eq!(seats.owes(at(0) + lasts, SEAT), Some(Span::ZERO));
        assert_eq!(seats.owes(at(0) + lasts, SeatId(6)), None, "nobody has reported from there");
    }

    #[test]
    fn what_an_earlier_run_lent_is_out_for_as_long_as_it_may_be() {
        let (mut seats, lasts) = seats();
        seats.met(at(9_000), SEAT, Epoch(1));
        seats.lent(at(9_000), SEAT);
        seats.met(at(10_000), SEAT, Epoch(2));
        assert_eq!(seats.owes(at(10_000), SEAT), Some(lasts.less(Span::from_ms(1_000))));
        assert_eq!(seats.owes(at(9_000) + lasts, SEAT), Some(Span::ZERO));
    }

    #[test]
    fn a_run_that_a_later_one_has_followed_is_not_heard_any_more() {
        let (mut seats, lasts) = seats();
        assert!(seats.met(at(0), SEAT, Epoch(9)));
        // Its clock was set back: the number tells nothing.
        assert!(seats.met(at(100), SEAT, Epoch(3)));
        assert!(!seats.met(at(200), SEAT, Epoch(9)));
        assert!(!seats.met(at(200), SeatId(0), Epoch(9)), "whatever seat it tells");
        assert!(seats.met(at(300), SEAT, Epoch(3)));
        assert!(
            seats.met(at(100) + lasts, SEAT, Epoch(4)),
            "and it is remembered for as long as it could lend"
        );
    }
}
