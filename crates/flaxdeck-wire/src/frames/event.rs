//! Events of the coordinator, and a hash that distinguishes different events with the same number.

use std::net::SocketAddr;

use flaxdeck::{Endpoint, GroupId, ListKind, ObjectId, Time};

/// The content of a numbered event.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list: all hosts, or those that are new or have changed.
    Hosts(ListKind, Vec<AddressedEndpoint>),
    /// A purge: copies from before a given time must not be served any more.
    Purged {
        /// The purged object; none if a group is purged.
        object: Option<ObjectId>,
        /// The purged group if `object` is none.
        group: GroupId,
        /// The time of the purge, on the coordinator's clock.
        made: Time,
    },
}

/// Events with their numbers, in order.
pub type NumberedEvents = Vec<(u64, Event)>;

/// An entry of the endpoint list with the address at which this dispatcher reaches the host.
#[derive(Clone, Debug)]
pub struct AddressedEndpoint {
    /// The entry.
    pub listed: Endpoint,
    /// The host's address.
    pub address: SocketAddr,
}

impl Event {
    /// Whether it is a full endpoint list, which replaces all entries known so far.
    pub fn is_full_list(&self) -> bool {
        matches!(self, Event::Hosts(ListKind::Full, _))
    }

    /// Returns a hash of the content, which is the same for an event from a frame and from a file and does not depend
    /// on the order of the list's entries. It is never zero, which stands for an unknown event.
    pub fn hash(&self) -> u64 {
        let hash = match self {
            Event::Hosts(kind, endpoints) => {
                let lines = endpoints.iter().map(endpoint_hash);
                let lines = lines.fold(0u64, u64::wrapping_add);
                fold(1 + *kind as u64, &lines.to_be_bytes())
            }
            Event::Purged {
                object,
                group,
                made,
            } => {
                let object_number = object.map_or(0, |object| object.0);
                let start = 8 + u64::from(object.is_some());
                fold_words(start, &[object_number, group.0, made.ms() as u64])
            }
        };
        hash.max(1)
    }
}

fn endpoint_hash(endpoint: &AddressedEndpoint) -> u64 {
    let AddressedEndpoint { listed, address } = endpoint;
    let words = [
        (listed.weight * 1000.0).round() as u64,
        listed.zone.map_or(u64::MAX, |zone| zone.0 as u64),
        listed.cell.0,
        listed.role as u64,
        listed.health as u64,
        listed.started.map_or(0, |at| at.ms() as u64),
        u64::from(address.port()),
    ];
    let host = fold(0, listed.host.0.as_bytes());
    let host_and_address = fold(host, address.ip().to_string().as_bytes());
    fold_words(host_and_address, &words)
}

fn fold_words(hash: u64, words: &[u64]) -> u64 {
    words
        .iter()
        .fold(hash, |hash, word| fold(hash, &word.to_be_bytes()))
}

/// FNV-1a over the bytes, and one more mixing step. This distinguishes different events with the same number, but does
/// not resist deliberate collisions.
fn fold(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    let hash = bytes.iter().fold(hash ^ 0xcbf2_9ce4_8422_2325, step);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
