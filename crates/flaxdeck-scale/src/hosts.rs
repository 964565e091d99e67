//! Hosts of the coordinator's list: generated ones, and their form in frames and in configurations.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The number in its id.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// 0 in service, 1 draining, 2 gone.
    pub state: u8,
    /// Its index in the settings' list of zones.
    pub zone: u8,
    /// Its index in the settings' list of kinds.
    pub kind: u8,
    /// Its block, or cell.
    pub block: u16,
    /// In thousandths.
    pub weight: u32,
    /// In milliseconds of Unix time; 0 for long past.
    pub started_ms: u64,
}

/// The first id of generated hosts, clear of those that the emulator gives its own.
const FIRST_ID: u32 = 0x0010_0000;
/// The state of hosts that are not listed.
const GONE: u8 = 2;
/// The discard port: nobody is meant to be called there.
const PORT: u16 = 9;
/// Indices in the settings' lists: caches of a zone in which no forwarder of a run is, as most of a long list are.
const ZONE: u8 = 1;
const KIND: u8 = 0;
/// In thousandths.
const WEIGHT: u32 = 12_000;

/// So many caches of another zone, with addresses of loopback at which nobody listens.
pub fn generated(count: u32) -> Vec<Host> {
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
    /// Whether it is listed: in service, or draining.
    pub fn is_listed(&self) -> bool {
        self.state < GONE
    }

    /// The host as frames hold it.
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

    /// The host as configurations hold it, with the settings' names of zones and kinds.
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
