//! Clients: what they want, their tries for it, and how each try ends for them.

use flaxdeck::{ClassId, GroupId, ObjectId, Request, RequestId, Span};
use flaxdeck_invariants::{FinalAnswer, RecordedEvent};
use rand::Rng;

use super::events::Event;
use super::forwarders::OpenRequest;
use super::{GROUPS, Model, time};

/// The latency objective of any request, in milliseconds, ...
pub(super) const OBJECTIVE_MS: u64 = 400;
/// ... to which so many times the time is added that a place takes to send it.
pub(super) const STRETCH: f64 = 2.0;
/// What a write sends.
const WRITE_KB: f64 = 5.0;
/// Objects of scans are numbered from here, past all that the traffic's law knows.
const SCANNED_FROM: u64 = 1_000_000_000;
/// Milliseconds until a client retries: after a try without an answer, ...
const RETRY_AFTER_TIMEOUT_MS: f64 = 100.0;
/// ... after one that failed, or was rejected without a time, ...
const RETRY_AFTER_FAILURE_MS: f64 = 200.0;
/// ... and after its forwarder died.
pub(super) const RETRY_AFTER_LOST_FORWARDER_MS: f64 = 300.0;

/// What a client wants, and how far it has got.
pub(super) struct Want {
    pub(super) zone: usize,
    pub(super) object: u64,
    pub(super) kb: f64,
    pub(super) write: bool,
    /// When the latency objective of its first try is past.
    pub(super) objective: f64,
    pub(super) tries: u32,
    /// Its attempts, over all tries.
    pub(super) attempts: Vec<u64>,
    /// The try that is out.
    pub(super) out: Option<Try>,
    pub(super) over: bool,
    pub(super) served: bool,
}

/// A client's try: the forwarder that has it, in which run, and as which request.
#[derive(Clone, Copy)]
pub(super) struct Try {
    forwarder: usize,
    run: u32,
    request: RequestId,
}

impl Model<'_> {
    /// The next client of a location comes, and plans the one after it.
    pub(super) fn client_comes(&mut self, zone: usize) {
        if self.now >= self.shape.day_ms {
            return;
        }
        let gap = self.traffic.gap(self.conditions.load, &mut self.chance);
        self.after(gap, Event::Arrival { zone });
        let hot = self.conditions.hot > 0.0 && self.chance.random_bool(self.conditions.hot);
        let object = if hot {
            0
        } else {
            self.traffic.object(&mut self.chance)
        };
        let write = self.traffic.writes(&mut self.chance);
        self.want(zone, object, write);
    }

    /// The next client of a scan comes, while it lasts.
    pub(super) fn scan_comes(&mut self) {
        if self.conditions.scan_rate <= 0.0 {
            return;
        }
        let gap = 1_000.0 / self.conditions.scan_rate;
        self.after(gap, Event::Scan);
        self.conditions.scanned += 1;
        let zone = self.chance.random_range(0..self.shape.zones);
        self.want(zone, SCANNED_FROM + self.conditions.scanned, false);
    }

    fn want(&mut self, zone: usize, object: u64, write: bool) {
        let kb = if write {
            WRITE_KB
        } else {
            self.traffic.kb(object)
        };
        let objective = self.now + OBJECTIVE_MS as f64 + STRETCH * kb / self.shape.place_pace;
        self.wants.push(Want {
            zone,
            object,
            kb,
            write,
            objective,
            tries: 0,
            attempts: Vec::new(),
            out: None,
            over: false,
            served: false,
        });
        self.outcome.wants += 1;
        self.try_want(self.wants.len() as u64 - 1);
    }

    /// A client asks one of its location's forwarders.
    pub(super) fn try_want(&mut self, id: u64) {
        let place = self.chance.random_range(0..self.shape.forwarders);
        let want = &mut self.wants[id as usize];
        if want.over {
            return;
        }
        want.tries += 1;
        let (tries, forwarder) = (want.tries, want.zone * self.shape.forwarders + place);
        let request = RequestId(self.number());
        let run = self.forwarders[forwarder].run;
        self.wants[id as usize].out = Some(Try {
            forwarder,
            run,
            request,
        });
        self.outcome.requests += 1;
        let by = self.now + self.shape.wait_ms;
        self.see(RecordedEvent::RequestSent {
            request: request.0.to_string(),
            deadline_ms: by,
        });
        self.after(self.shape.wait_ms, Event::ClientStops { want: id, tries });
        self.forwarders[forwarder].open.insert(
            request,
            OpenRequest {
                want: id,
                attempts: 0,
            },
        );
        self.requests.insert(request.0, id);
        let told = self.request(request, id);
        let decisions = self.forwarders[forwarder]
            .engine
            .request(time(self.now), told);
        self.decide(forwarder, decisions);
    }

    /// What the forwarder is told of a try.
    fn request(&self, id: RequestId, want: u64) -> Request {
        let want = &self.wants[want as usize];
        Request {
            id,
            class: ClassId(usize::from(want.write)),
            object: ObjectId(want.object),
            part: 0,
            group: GroupId(want.object % GROUPS),
            size_kb: Some(want.kb),
            deadline: time(self.now + self.shape.wait_ms),
            again: want.tries > 1,
        }
    }

    /// A client waits no longer: it hangs up if the try has no answer yet, and goes on to the next.
    pub(super) fn client_stops(&mut self, id: u64, tries: u32) {
        let want = &mut self.wants[id as usize];
        if want.over || want.tries != tries {
            return;
        }
        // This try had its answer, and the next one waits for its time.
        let Some(Try {
            forwarder,
            run,
            request,
        }) = want.out.take()
        else {
            return;
        };
        // Unanswered on a whole connection: the record shows it.
        if self.forwarders[forwarder].run == run
            && self.forwarders[forwarder].open.remove(&request).is_some()
        {
            let decisions = self.forwarders[forwarder]
                .engine
                .client_left(time(self.now), request);
            self.decide(forwarder, decisions);
        }
        self.retry(id, RETRY_AFTER_TIMEOUT_MS);
    }

    /// The client retries after a while, or gives up once it has tried often enough.
    pub(super) fn retry(&mut self, id: u64, after_ms: f64) {
        let want = &mut self.wants[id as usize];
        want.out = None;
        if want.tries >= self.shape.tries {
            return self.give_up(id);
        }
        let jitter = self.chance.random_range(0.8..1.2);
        self.after(after_ms * jitter, Event::Try { want: id });
    }

    /// Retries a read; a write that may have run is not retried.
    pub(super) fn retry_unless_write(&mut self, id: u64, after_ms: f64) {
        if self.wants[id as usize].write {
            self.give_up(id);
        } else {
            self.retry(id, after_ms);
        }
    }

    fn give_up(&mut self, id: u64) {
        self.wants[id as usize].over = true;
        self.outcome.lost += 1;
    }

    /// A forwarder answers a request, unless it had its answer before.
    pub(super) fn answered(
        &mut self,
        n: usize,
        request: RequestId,
        how: FinalAnswer,
        retry_after: Option<Span>,
    ) {
        let Some(OpenRequest { want, .. }) = self.forwarders[n].open.remove(&request) else {
            return;
        };
        self.see(RecordedEvent::Answered {
            request: request.0.to_string(),
            answer: how,
        });
        self.note([request.0, how as u64, (self.now * 1000.0) as u64]);
        match how {
            FinalAnswer::Served => self.want_served(want),
            FinalAnswer::Rejected => {
                self.outcome.rejected += 1;
                self.retry(want, retry_after.map_or(RETRY_AFTER_FAILURE_MS, Span::ms));
            }
            FinalAnswer::Failed => {
                self.outcome.failed += 1;
                self.retry_unless_write(want, RETRY_AFTER_FAILURE_MS);
            }
        }
    }

    fn want_served(&mut self, id: u64) {
        let want = &mut self.wants[id as usize];
        (want.over, want.served) = (true, true);
        self.outcome.served += 1;
        if self.now <= want.objective {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }
}
