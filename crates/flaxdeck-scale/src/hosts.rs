//! Hosts of the coordinator's endpoint list: generates hosts, and encodes them for frames and configurations.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// One host of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The number in its id, `s-` followed by 8 hexadecimal digits.
    pub id: u32,
    /// The address at which it listens.
    pub address: SocketAddrV4,
    /// Its state: 0 is in service, 1 draining, 2 gone.
    pub state: u8,
    /// Its index in the settings' list of zones.
    pub zone: u8,
    /// Its index in the settings' list of kinds.
    pub kind: u8,
    /// The number of its block, which is its cell.
    pub block: u16,
    /// Its weight, in thousandths.
    pub weight: u32,
    /// When it started, in milliseconds of Unix time; 0 for a time long past.
    pub started_ms: u64,
}

/// The first id of generated hosts, chosen so that none coincides with an id of the emulator's hosts.
const FIRST_ID: u32 = 0x0010_0000;
/// The first state in which a host is not listed.
const GONE: u8 = 2;
/// The port of generated hosts: the discard port, as no connection to them is intended.
const PORT: u16 = 9;
/// The index of the zone of generated hosts. No forwarder of a run is in it, as with most hosts of a long list.
const ZONE: u8 = 1;
/// The index of the kind of generated hosts: caches.
const KIND: u8 = 0;
/// The weight of generated hosts, in thousandths.
const WEIGHT: u32 = 12_000;

/// Generates `count` caches of a zone without forwarders, with loopback addresses at which nothing listens.
pub fn generate(count: u32) -> Vec<Host> {
    let host = |n: u32| {
        let [.., high, low] = n.to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 77, high, low), PORT);
        Host {
            id: FIRST_ID + n,
            address,
            state: 0,
            zone: ZONE,
            kind: KIND,
            block: 0,
            weight: WEIGHT,
            started_ms: 0,
        }
    };
    (0..count).map(host).collect()
}

impl Host {
    /// Returns whether the host is listed, that is in service or draining.
    pub fn is_listed(&self) -> bool {
        self.state < GONE
    }

    /// Encodes the host as in frames.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(self.address.ip().octets());
        bytes.extend(self.address.port().to_be_bytes());
        bytes.extend([self.state, self.zone, self.kind]);
        bytes.extend(self.block.to_be_bytes());
        bytes.extend(self.weight.to_be_bytes());
        bytes.extend(self.started_ms.to_be_bytes());
        bytes
    }

    /// Encodes the host as in configurations, with the names of zones and kinds from the settings.
    pub fn list_row(&self, zones: &[String], kinds: &[String]) -> Value {
        let health = ["Ready", "Terminating", "Gone"][usize::from(self.state.min(GONE))];
        json!({
            "host": format!("s-{:08x}", self.id),
            "dial": self.address.to_string(),
            "site": zones.get(usize::from(self.zone)),
            "class": kinds.get(usize::from(self.kind)),
            "block": self.block,
            "health": health,
            "share": f64::from(self.weight) / 1000.0,
            "born_ms": self.started_ms,
        })
    }
}
