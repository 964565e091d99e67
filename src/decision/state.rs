//! The state that the decision engine keeps of hosts, requests and attempts.

use std::cell::Cell;

use crate::{
    AttemptIndex, Endpoint, GroupId, Health, HostId, LoadReport, ObjectId, PossibleRun, Request,
    RequestId, Role, Sampled, SourceMeasurements, Span, Time,
};

use super::constants::{INITIAL_WINDOW, TRIAL_INTERVAL};
use super::rendezvous;

/// A host with its ratings and this dispatcher's attempts there.
#[derive(Default)]
pub(super) struct Host {
    pub(super) endpoint: Endpoint,
    /// The hash of its id, which is part of every rendezvous score.
    pub(super) hash: u64,
    /// From 0 to 1; below [`MIN_REPUTATION`](super::constants::MIN_REPUTATION) the host is ejected.
    pub(super) reputation: f64,
    /// The earliest time of its next trial while it is ejected.
    pub(super) next_trial: Time,
    /// When it last responded to an attempt, or was first listed.
    pub(super) last_response: Time,
    /// Attempts found overdue since it last answered, up to the number that proves it silent.
    pub(super) silent_attempts: u32,
    /// Moving averages over the samples of this dispatcher and its peers.
    pub(super) measurements: SourceMeasurements,
    /// Consecutive fills in which the origin beat it, by each measure.
    pub(super) origin_wins: OriginWins,
    /// This dispatcher's attempts in flight, as host or as source.
    pub(super) in_flight: f64,
    /// The fraction of its capacity in use by its last report, 0 to 1.
    pub(super) utilization: Option<Sampled<f64>>,
    /// Requests that other dispatchers have in flight there, by the host's last report.
    pub(super) reported_others: Option<Sampled<f64>>,
    /// Attempts that other dispatchers have in flight there, as they report themselves.
    pub(super) others_in_flight: Option<Sampled<f64>>,
    /// Concurrency window: how many attempts this dispatcher may have in flight there, as a source or past the caches.
    pub(super) window: f64,
    /// Of the origin: the fraction of objects that parents may fetch there, 0 to 1.
    pub(super) origin_fill_fraction: f64,
    /// The work that this dispatcher sent to it within a slow start window.
    pub(super) warmup_charges: Vec<WarmupCharge>,
    /// The fraction of a cold host's capacity that peers grant this dispatcher, 0 to 1.
    pub(super) warmup_quota: Option<f64>,
    /// Milliseconds of work that it could not be sent for lack of quota since the last observation.
    pub(super) unmet_demand: Cell<f64>,
    /// This dispatcher's latest samples.
    pub(super) latest_samples: SourceMeasurements,
    /// When the latest samples were taken.
    pub(super) own_measured_at: Option<Time>,
    /// When the last applied sample of peers was measured.
    pub(super) peer_measured_at: Option<Time>,
    /// When it was last polled for its load.
    pub(super) last_polled: Option<Time>,
    /// Moving average of answer times over their transfer times, with the time of the last sample.
    pub(super) slowdown: Sampled<f64>,
    /// This dispatcher's last success there.
    pub(super) last_success: Option<Time>,
    /// This dispatcher's last failure there.
    pub(super) last_failure: Option<Time>,
}

/// Consecutive fills in which the origin beat a source, by each measure.
#[derive(Default)]
pub(super) struct OriginWins {
    pub(super) latency: u32,
    pub(super) bandwidth: u32,
}

/// The work of one attempt, counted against the slow start quota of a host.
pub(super) struct WarmupCharge {
    pub(super) at: Time,
    pub(super) request: RequestId,
    pub(super) attempt: AttemptIndex,
    pub(super) cost: WarmupCost,
}

/// The cost of a request to a cold host, in ms of work.
#[derive(Clone, Copy)]
pub(super) struct WarmupCost {
    /// By the size that the client has stated, or that the answer had.
    pub(super) stated: f64,
    /// What it may turn out to be; equal to `stated` once the answer has shown the size.
    pub(super) unverified: f64,
}

impl WarmupCost {
    /// Nothing, or nothing more than is charged already.
    pub(super) const NONE: WarmupCost = WarmupCost::verified(0.0);

    /// Returns a cost that does not rest on a client's word.
    pub(super) const fn verified(ms: f64) -> WarmupCost {
        WarmupCost {
            stated: ms,
            unverified: ms,
        }
    }

    pub(super) fn is_verified(self) -> bool {
        self.unverified <= self.stated
    }
}

impl WarmupCharge {
    /// Stands for whatever an earlier process of this dispatcher may have sent: it uses up any quota.
    pub(super) fn of_earlier_process(at: Time) -> WarmupCharge {
        WarmupCharge {
            at,
            request: RequestId(u64::MAX),
            attempt: AttemptIndex(0),
            cost: WarmupCost::verified(f64::INFINITY),
        }
    }

    pub(super) fn is_of(&self, request: RequestId, attempt: AttemptIndex) -> bool {
        self.request == request && self.attempt == attempt
    }
}

impl Host {
    pub(super) fn new(endpoint: Endpoint, now: Time) -> Host {
        Host {
            hash: rendezvous::host_hash(&endpoint.host),
            endpoint,
            reputation: 1.0,
            next_trial: now + TRIAL_INTERVAL,
            window: INITIAL_WINDOW,
            origin_fill_fraction: 1.0,
            slowdown: Sampled {
                value: 1.0,
                at: now,
            },
            last_response: now,
            ..Host::default()
        }
    }

    pub(super) fn id(&self) -> &HostId {
        &self.endpoint.host
    }

    pub(super) fn is(&self, role: Role) -> bool {
        self.endpoint.role == role
    }

    pub(super) fn in_service(&self) -> bool {
        self.endpoint.health == Health::InService
    }

    /// Applies the host's own load report; values that the report leaves out stay as they were.
    pub(super) fn record_report(&mut self, now: Time, report: LoadReport) {
        if let Some(requests) = report.in_flight {
            self.reported_others = Some(Sampled {
                value: (requests - self.in_flight).max(0.0),
                at: now,
            });
        }
        if let Some(utilization) = report.utilization {
            self.utilization = Some(Sampled {
                value: utilization,
                at: now,
            });
        }
    }

    /// Removes one attempt from those in flight.
    pub(super) fn release(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }
}

/// Why an attempt is overdue.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum OverdueCause {
    /// Its host or source has stopped answering.
    Silent,
    /// Its host and source have answered other attempts in the meantime.
    Slow,
}

/// An attempt in flight.
pub(super) struct AttemptState {
    pub(super) index: AttemptIndex,
    pub(super) host: HostId,
    /// Equal to `host` if there is no fill.
    pub(super) source: HostId,
    pub(super) sent: Time,
    /// When it becomes overdue.
    pub(super) overdue: Time,
    /// Set once the cause of its being overdue is decided.
    pub(super) overdue_cause: Option<OverdueCause>,
    /// Whether its source was due for a trial.
    pub(super) trial: bool,
}

impl AttemptState {
    /// Returns its host and its source in the order of their ids; one item if they are the same.
    pub(super) fn participants(&self) -> impl Iterator<Item = &HostId> {
        let (first, second) = if self.host <= self.source {
            (&self.host, &self.source)
        } else {
            (&self.source, &self.host)
        };
        std::iter::once(first).chain((first != second).then_some(second))
    }

    /// Whether no miss is filled: only a hit is requested, or the request goes to its source directly.
    pub(super) fn without_fill(&self) -> bool {
        self.source == self.host
    }
}

/// A request that has no final answer yet.
pub(super) struct RequestState {
    pub(super) request: Request,
    /// Milliseconds that a cache takes to send the answer at full speed.
    pub(super) transfer_ms: f64,
    /// When its answer is due by the latency objective.
    pub(super) objective: Time,
    pub(super) in_flight: Vec<AttemptState>,
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// Its first attempt that may have run, or that of an earlier request with the same id.
    pub(super) may_have_run: Option<PossibleRun>,
    /// The earliest time of its next attempt.
    pub(super) not_before: Time,
    /// Backoffs so far.
    pub(super) backoffs: u32,
    /// A cache answered that it has no copy, or no slot for a fill.
    pub(super) missed: bool,
    /// Hosts and sources that are not used for it again.
    pub(super) tried: Vec<HostId>,
    /// Hosts that answered it with a failure of their own, not of a source.
    pub(super) failed_by: Vec<HostId>,
    /// It has its final answer, or its client has disconnected.
    pub(super) done: bool,
}

impl RequestState {
    pub(super) fn new(
        request: Request,
        now: Time,
        transfer_ms: f64,
        objective: Time,
    ) -> RequestState {
        RequestState {
            request,
            transfer_ms,
            objective,
            in_flight: Vec::new(),
            attempts: 0,
            may_have_run: None,
            not_before: now,
            backoffs: 0,
            missed: false,
            tried: Vec::new(),
            failed_by: Vec::new(),
            done: false,
        }
    }

    pub(super) fn has_tried(&self, host: &Host) -> bool {
        self.tried.contains(host.id())
    }

    /// Returns the milliseconds until the answer is due by the latency objective; zero if that time has passed.
    pub(super) fn objective_left_ms(&self, now: Time) -> f64 {
        self.objective.since(now).ms()
    }

    /// Returns the timer at which the request has to be answered, a margin before its deadline.
    pub(super) fn answer_timer(&self, margin: Span) -> Timer {
        Timer {
            at: self.request.deadline - margin,
            request: self.request.id,
        }
    }

    pub(super) fn deadline_left(&self, now: Time) -> Span {
        self.request.deadline.since(now)
    }
}

/// A part of an object; caches keep each part separately.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObjectPart {
    pub(super) object: ObjectId,
    pub(super) part: u64,
}

impl ObjectPart {
    pub(super) fn of(request: &Request) -> ObjectPart {
        ObjectPart {
            object: request.object,
            part: request.part,
        }
    }
}

/// A purge of one object, or of a whole group if no object is named.
pub(super) struct Purge {
    pub(super) object: Option<ObjectId>,
    pub(super) group: GroupId,
    pub(super) made: Time,
}

/// A time at which the rules of a request are applied again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) at: Time,
    pub(super) request: RequestId,
}
