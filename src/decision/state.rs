//! What the decision engine remembers of hosts, requests and attempts.

use std::cell::Cell;

use crate::{
    AttemptIndex, Endpoint, GroupId, Health, HostId, LoadReport, ObjectId, Request, RequestId,
    Role, Sampled, SourceMeasurements, Span, Time,
};

use super::constants::{INITIAL_WINDOW, TRIAL_INTERVAL};
use super::rendezvous;

/// A host with its ratings and what this dispatcher has in flight there.
#[derive(Default)]
pub(super) struct Host {
    pub(super) endpoint: Endpoint,
    /// The host's part of every rendezvous score.
    pub(super) hash: u64,
    /// From 0 to 1; below [`MIN_REPUTATION`](super::constants::MIN_REPUTATION) the host is ejected.
    pub(super) reputation: f64,
    /// From when on the host may have a trial while it is ejected.
    pub(super) next_trial: Time,
    /// When it last answered anything.
    pub(super) last_heard: Time,
    /// Attempts found overdue since then, up to the number that proves its silence.
    pub(super) silent_attempts: u32,
    /// Moving averages over own and peers' samples.
    pub(super) measurements: SourceMeasurements,
    /// Fills in a row in which the origin beat it, by each measure.
    pub(super) origin_wins: OriginWins,
    /// This dispatcher's attempts in flight, as host or as source.
    pub(super) in_flight: f64,
    /// The share of its capacity in use by its last report, 0 to 1.
    pub(super) utilization: Option<Sampled<f64>>,
    /// Other dispatchers' requests there by the host's last report.
    pub(super) reported_others: Option<Sampled<f64>>,
    /// Other dispatchers' attempts in flight there by their own account.
    pub(super) others_in_flight: Option<Sampled<f64>>,
    /// Attempts of this dispatcher that may be in flight, as a source or past the caches.
    pub(super) window: f64,
    /// Of the origin: the fraction of objects that parents may fetch there, 0 to 1.
    pub(super) origin_fill_fraction: f64,
    /// What this dispatcher sent to it within a window, in the order of sending.
    pub(super) warmup_charges: Vec<WarmupCharge>,
    /// The fraction of a cold host's capacity that peers grant this dispatcher, 0 to 1.
    pub(super) warmup_quota: Option<f64>,
    /// Milliseconds of work that it could not be sent for want of quota since the last observation.
    pub(super) unmet_demand: Cell<f64>,
    /// The last own samples.
    pub(super) latest_samples: SourceMeasurements,
    /// When those were taken.
    pub(super) own_measured_at: Option<Time>,
    /// When the last sample of peers that was taken in was measured.
    pub(super) peer_measured_at: Option<Time>,
    /// When it was last polled for its load.
    pub(super) last_polled: Option<Time>,
    /// Times its transfer time that its answers take, with the time of the last sample.
    pub(super) slowdown: Sampled<f64>,
    /// The last own success.
    pub(super) last_success: Option<Time>,
    /// The last own failure.
    pub(super) last_failure: Option<Time>,
}

/// Fills in a row in which the origin beat a source, by each measure.
#[derive(Default)]
pub(super) struct OriginWins {
    pub(super) latency: u32,
    pub(super) bandwidth: u32,
}

/// What an attempt counts for against the slow start of a host.
pub(super) struct WarmupCharge {
    pub(super) at: Time,
    pub(super) request: RequestId,
    pub(super) attempt: AttemptIndex,
    /// Milliseconds of work.
    pub(super) cost: f64,
}

impl WarmupCharge {
    /// Stands for all that an earlier process of this dispatcher may have sent: it uses up any quota.
    pub(super) fn of_earlier_process(at: Time) -> WarmupCharge {
        WarmupCharge {
            at,
            request: RequestId(u64::MAX),
            attempt: AttemptIndex(0),
            cost: f64::INFINITY,
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
            last_heard: now,
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

    /// Takes in the host's own report; what that leaves out stays as it was.
    pub(super) fn record_report(&mut self, now: Time, report: LoadReport) {
        if let Some(requests) = report.in_hand {
            self.reported_others = Some(Sampled {
                value: (requests - self.in_flight).max(0.0),
                at: now,
            });
        }
        if let Some(utilization) = report.busy {
            self.utilization = Some(Sampled {
                value: utilization,
                at: now,
            });
        }
    }

    /// An attempt is no longer in flight.
    pub(super) fn release(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }
}

/// What an overdue attempt was found to be.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum OverdueCause {
    /// Its host or source has answered nothing since.
    Silent,
    /// Both have answered others.
    Slow,
}

/// An attempt in flight.
pub(super) struct AttemptState {
    pub(super) index: AttemptIndex,
    pub(super) host: HostId,
    /// The host itself where there is no fill.
    pub(super) source: HostId,
    pub(super) sent: Time,
    /// When it counts as overdue.
    pub(super) overdue: Time,
    /// Set once it is overdue.
    pub(super) overdue_cause: Option<OverdueCause>,
    /// Its source was due for a trial.
    pub(super) trial: bool,
}

impl AttemptState {
    /// Its host and its source, each once, in the order of their ids.
    pub(super) fn participants(&self) -> impl Iterator<Item = &HostId> {
        let (first, second) = if self.host <= self.source {
            (&self.host, &self.source)
        } else {
            (&self.source, &self.host)
        };
        std::iter::once(first).chain((first != second).then_some(second))
    }

    /// Nothing but a hit is asked for: the host has no source beside itself.
    pub(super) fn without_fill(&self) -> bool {
        self.source == self.host
    }
}

/// The first attempt of a request that may have run.
pub(super) struct PossibleRun {
    pub(super) sent: Time,
    pub(super) host: HostId,
}

/// A request that has no final answer yet.
pub(super) struct RequestState {
    pub(super) request: Request,
    /// Milliseconds that a cache at full pace takes to send the answer.
    pub(super) transfer_ms: f64,
    /// The time promised to the client.
    pub(super) objective: Time,
    pub(super) in_flight: Vec<AttemptState>,
    /// Attempts made so far.
    pub(super) attempts: u32,
    pub(super) may_have_run: Option<PossibleRun>,
    /// No attempt before this time.
    pub(super) not_before: Time,
    /// Backoffs so far.
    pub(super) backoffs: u32,
    /// The cache that it belongs to lacks the object.
    pub(super) missed: bool,
    /// Hosts and sources not to be asked again.
    pub(super) tried: Vec<HostId>,
    /// Hosts that answered it as failed, and named no other.
    pub(super) failed_by: Vec<HostId>,
    /// It is answered, or its client has left.
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

    /// Milliseconds until the time promised to the client; none if that has passed.
    pub(super) fn objective_left_ms(&self, now: Time) -> f64 {
        self.objective.since(now).ms()
    }

    /// When the request has to get its answer, a margin before its deadline.
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

/// An object's part, which caches keep by itself.
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

/// A purge of an object, or of a group where no object is named.
pub(super) struct Purge {
    pub(super) object: Option<ObjectId>,
    pub(super) group: GroupId,
    pub(super) made: Time,
}

/// A time at which a request has to be looked at again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    pub(super) at: Time,
    pub(super) request: RequestId,
}
