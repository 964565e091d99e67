//! Converts between the events and observations of a running forwarder and their stored form.

use flaxdeck::{
    CellId, Endpoint, GroupId, Health, HostId, ListKind, ObjectId, Observation, PeerHint, Role,
    SourceMeasurements, Span, Time, ZoneId,
};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::clock::since_boot;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::stored_state::{
    StateChange, StoredEndpoint, StoredPurge, StoredRating, Uptime,
};
use flaxdeck_wire::frames::AddressedEndpoint;

/// Roles by their stored numbers; a number beyond the last one is read as the last.
const ROLES: [Role; 3] = [Role::Cache, Role::Parent, Role::Origin];
/// Health states by their stored numbers; a number beyond the last one is read as the last.
const HEALTHS: [Health; 3] = [Health::InService, Health::Draining, Health::Removed];

/// Returns the machine's uptime, which is not affected by changes of the wall clock.
pub(super) fn uptime() -> Uptime {
    let since = since_boot();
    Uptime {
        boot: since.boot_id,
        ms: since.ms,
    }
}

/// Converts an endpoint to its stored form.
fn stored_endpoint(endpoint: &AddressedEndpoint) -> StoredEndpoint {
    let listed = &endpoint.listed;
    StoredEndpoint {
        host: listed.host.0.to_string(),
        address: endpoint.address,
        weight: listed.weight,
        zone: listed.zone.map(|zone| zone.0 as u32),
        cell: listed.cell.0,
        role: match listed.role {
            Role::Cache => 0,
            Role::Parent => 1,
            Role::Origin => 2,
        },
        health: match listed.health {
            Health::InService => 0,
            Health::Draining => 1,
            Health::Removed => 2,
        },
        started: listed.started.map_or(0, |at| at.ms() as u64),
    }
}

/// Converts a stored endpoint to the form that events have.
pub(super) fn addressed_endpoint(stored: &StoredEndpoint) -> AddressedEndpoint {
    let listed = Endpoint {
        host: HostId(stored.host.as_str().into()),
        weight: stored.weight,
        zone: stored.zone.map(|zone| ZoneId(zone as usize)),
        cell: CellId(stored.cell),
        role: ROLES[usize::from(stored.role.min(2))],
        health: HEALTHS[usize::from(stored.health.min(2))],
        started: Some(stored.started)
            .filter(|ms| *ms > 0)
            .map(|ms| Time::at_ms(ms as f64)),
    };
    AddressedEndpoint {
        listed,
        address: stored.address,
    }
}

/// Converts a stored purge to an event.
pub(super) fn purge_event(stored: StoredPurge) -> Event {
    Event::Purged {
        object: stored.object.map(ObjectId),
        group: GroupId(stored.group),
        made: Time::at_ms(stored.made as f64),
    }
}

/// Returns the change that the event at `position` makes to the stored state.
pub(super) fn state_change(position: EventPosition, event: &Event) -> StateChange {
    match event {
        Event::Hosts(ListKind::Full, endpoints) => {
            StateChange::FullList(position, endpoints.iter().map(stored_endpoint).collect())
        }
        Event::Hosts(ListKind::Delta, endpoints) => {
            StateChange::Endpoints(position, endpoints.iter().map(stored_endpoint).collect())
        }
        Event::Purged {
            object,
            group,
            made,
        } => StateChange::Purged(
            position,
            StoredPurge {
                object: object.map(|object| object.0),
                group: group.0,
                made: made.ms() as u64,
            },
        ),
    }
}

/// Whether the observation of a host holds a measurement, a success or a failure, and so is worth storing.
pub(super) fn is_measured(observation: &Observation) -> bool {
    observation.measured_at.is_some()
        || observation.last_success.is_some()
        || observation.last_failure.is_some()
}

/// Converts an observation to its stored form. That has ages instead of times, since the wall clock may be changed
/// before the next run.
pub(super) fn stored_rating(now: Time, observation: &Observation) -> StoredRating {
    let age = |at: Option<Time>| at.map(|at| now.since(at).ms() as u64);
    StoredRating {
        host: observation.host.0.to_string(),
        started: observation.started.map_or(0, |at| at.ms() as u64),
        measurements: observation.measurements.into(),
        measured_ago_ms: age(observation.measured_at),
        last_success_ago_ms: age(observation.last_success),
        last_failure_ago_ms: age(observation.last_failure),
    }
}

/// Converts a stored rating to a hint for the decision engine.
pub(super) fn hint(now: Time, stored: StoredRating) -> PeerHint {
    let time = |age: Option<u64>| age.map(|ms| now - Span::from_ms(ms));
    PeerHint {
        host: HostId(stored.host.as_str().into()),
        quota: None,
        measurements: SourceMeasurements::from(stored.measurements),
        measured_at: time(stored.measured_ago_ms),
        down_at: time(stored.last_failure_ago_ms),
        last_success: time(stored.last_success_ago_ms),
        window: None,
        others_in_flight: None,
    }
}
