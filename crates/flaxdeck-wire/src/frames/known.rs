//! Reads the events that a configuration contains as JSON.

use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

use flaxdeck::{CellId, Endpoint, GroupId, Health, HostId, ListKind, ObjectId, ZoneId};
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{Names, SettingsError, index_of};
use serde_json::Value;
use thiserror::Error;

use super::record::{host_id, host_number, started};
use super::{AddressedEndpoint, Event, NumberedEvents};

/// Errors in the events of a configuration.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KnownEventsError {
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The health of a host is unknown.
    #[error("field health: unknown value {health:?}")]
    UnknownHealth {
        /// The field's value.
        health: String,
    },
    /// The address of a host is not an IP address with a port.
    #[error("field dial: {dial:?} is not an IP address with a port")]
    Address {
        /// The field's value.
        dial: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// The id of a host is not `s-` and 8 hex digits.
    #[error("field host: {host:?} is not \"s-\" and 8 hex digits")]
    HostId {
        /// The field's value.
        host: String,
    },
    /// The weight of a host is negative.
    #[error("field share: negative")]
    Weight,
    /// A purge names neither an object nor a group.
    #[error("field evict: neither ref nor shard is given")]
    PurgeOfNothing,
    /// The key of a purged object is not a hex number.
    #[error("field ref: not a 64-bit hex number")]
    Object {
        /// The parse error.
        source: ParseIntError,
    },
}

/// The events of a configuration.
#[derive(Debug)]
pub struct KnownEvents {
    /// The number of the last event.
    pub last: u64,
    /// The events, in order.
    pub events: NumberedEvents,
}

/// Reads the events of a configuration.
///
/// # Errors
///
/// Returns the error of the first event that is invalid.
pub fn known_events(known: &Fields, names: &Names) -> Result<KnownEvents, KnownEventsError> {
    let mut events = NumberedEvents::new();
    for update in known.rows("updates")? {
        let update = Fields::of(update, "an update")?;
        events.push((update.unsigned("index")?, read_event(&update, names)?));
    }
    let last = known.unsigned("index")?;
    Ok(KnownEvents { last, events })
}

fn read_event(update: &Fields, names: &Names) -> Result<Event, KnownEventsError> {
    if update.get("endpoints").is_some() {
        read_list(&update.inner("endpoints")?, names)
    } else {
        read_purge(&update.inner("evict")?)
    }
}

fn read_list(list: &Fields, names: &Names) -> Result<Event, KnownEventsError> {
    let kind = if list.flag_or_false("whole")? {
        ListKind::Full
    } else {
        ListKind::Delta
    };
    let rows = list.rows("hosts")?.iter();
    let endpoints: Result<_, _> = rows.map(|row| read_endpoint(row, names)).collect();
    Ok(Event::Hosts(kind, endpoints?))
}

fn read_purge(purge: &Fields) -> Result<Event, KnownEventsError> {
    let made = purge.time("unix_ms")?;
    let object = match purge.text_or_none("ref")? {
        Some(key) => {
            let number = u64::from_str_radix(key, 16);
            let number = number.map_err(|source| KnownEventsError::Object { source })?;
            Some(ObjectId(number))
        }
        None => None,
    };
    let group = purge.unsigned_or_none("shard")?;
    if object.is_none() && group.is_none() {
        return Err(KnownEventsError::PurgeOfNothing);
    }
    Ok(Event::Purged {
        object,
        group: GroupId(group.unwrap_or(0)),
        made,
    })
}

fn read_endpoint(row: &Value, names: &Names) -> Result<AddressedEndpoint, KnownEventsError> {
    let row = Fields::of(row, "a host")?;
    let health = read_health(row.text("health")?)?;
    let dial = row.text("dial")?;
    let listed = Endpoint {
        host: read_host(row.text("host")?)?,
        weight: read_weight(&row)?,
        zone: index_in(&names.zones, row.text_or_none("site")?).map(ZoneId),
        cell: CellId(row.unsigned_or_none("block")?.unwrap_or(0)),
        role: names.role(index_in(&names.machine_kinds, row.text_or_none("class")?)),
        health,
        started: started(row.number_or("born_ms", 0.0)?),
    };
    let address = read_address(dial)?;
    Ok(AddressedEndpoint { listed, address })
}

fn read_host(name: &str) -> Result<HostId, KnownEventsError> {
    match host_number(name) {
        Some(number) => Ok(host_id(number)),
        None => Err(KnownEventsError::HostId {
            host: name.to_owned(),
        }),
    }
}

fn read_weight(row: &Fields) -> Result<f64, KnownEventsError> {
    let share = row.number_or("share", 1.0)?;
    if share < 0.0 {
        return Err(KnownEventsError::Weight);
    }
    Ok(share)
}

fn read_health(health: &str) -> Result<Health, KnownEventsError> {
    match health {
        "Ready" => Ok(Health::InService),
        "Terminating" => Ok(Health::Draining),
        "Gone" => Ok(Health::Removed),
        other => Err(KnownEventsError::UnknownHealth {
            health: other.to_owned(),
        }),
    }
}

fn read_address(dial: &str) -> Result<SocketAddr, KnownEventsError> {
    dial.parse().map_err(|source| KnownEventsError::Address {
        dial: dial.to_owned(),
        source,
    })
}

fn index_in(names: &[String], name: Option<&str>) -> Option<usize> {
    index_of(names, name?)
}
