//! The settings and the configuration of a small deployment: two hubs and up to three campuses.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;

pub const ZONES: [&str; 5] = ["north", "south", "campus-1", "campus-2", "campus-3"];
pub const KINDS: [&str; 3] = ["standard", "parent", "origin"];
pub const HUB: u8 = 0;
pub const OTHER_HUB: u8 = 1;
/// The first campus; the others follow it.
pub const CAMPUS: u8 = 2;
pub const CACHE: u8 = 0;
pub const PARENT: u8 = 1;
pub const ORIGIN: u8 = 2;

/// The pace of one answer: KB as the settings count them, and bytes on the socket.
pub const KB_PER_S: f64 = 11_000.0;
pub const BYTES_PER_S: f64 = 310_000.0;

/// Time that the pages add to each limit on sockets.
pub const SLACK_MS: f64 = 50.0;
/// The longest time until an event counts as told, by the pages.
pub const TOLD_WITHIN_MS: f64 = 7_000.0;

/// The figures of the rules that cases differ in.
#[derive(Clone, Copy)]
pub struct Rules {
    pub dispatchers: u32,
    /// 1, or as many as there are dispatchers, which then have a campus each.
    pub campuses: u32,
    pub drain_grace_ms: f64,
    pub purge_grace_ms: f64,
    pub window_ms: f64,
    pub parent_cold_from: f64,
    pub parent_warm_ms: f64,
    pub parent_multiple: f64,
}

impl Rules {
    pub const USUAL: Rules = Rules {
        dispatchers: 2,
        campuses: 1,
        drain_grace_ms: 1000.0,
        purge_grace_ms: 500.0,
        window_ms: 3000.0,
        parent_cold_from: 0.074,
        parent_warm_ms: 22_000.0,
        parent_multiple: 2.0,
    };

    fn settings(&self, number: u32) -> String {
        let Rules {
            dispatchers,
            campuses,
            drain_grace_ms,
            purge_grace_ms,
            window_ms,
            parent_cold_from,
            parent_warm_ms,
            parent_multiple,
        } = self;
        let (counts, campus) = if *campuses == 1 {
            (format!("0,0,{dispatchers},0,0"), 1)
        } else {
            ("0,0,1,1,1".to_owned(), number + 1)
        };
        format!(
            r#"{{"allowed":{{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":400.0,"max_attempts":6,
"max_held":20000,"max_retry_after_ms":2000.0,"may_duplicate":true,"may_tell":false,"probes":false,"retry_after":true,
"streams_per_conn":100}},"clients":{{"marks_retry":true}},"discovery":"pushed","family":"edge",
"family_info":{{"aged_worth":[0.7,0.7,0.7],"class_parts":[false,false,false],"client_kb_per_s":{KB_PER_S:.1},
"collapses":false,"count_by_zone":[{counts}],"direct":true,"goes_through":[false,false,true],
"max_age_ms":[0.0,12000.0,0.0],"neighbours":"off","older_by_ms":[0.0,20000.0,0.0],"purge_grace_ms":{purge_grace_ms:.1},
"purge_settles_ms":6000.0,"shield_kind":1,"source_kind":2,"tells":"all","upper_cold_from":{parent_cold_from},
"upper_cold_ms":{parent_warm_ms:.1},"upper_fall_multiple":{parent_multiple:.1},"zone_hub":[0,1,0,0,1]}},
"group_size":{dispatchers},"kinds":["standard","parent","origin"],"my_number":{number},
"request_classes":[
{{"aim_stretch":1.6,"deadline_ms":6000.0,"effect":"idempotent","key_scope":"all","late_value":0.15,"memory_span_ms":5000.0,
"name":"video-part","objective_ms":500.0,"stream":false,"worth":2.0}},
{{"aim_stretch":2.0,"deadline_ms":2500.0,"effect":"idempotent","key_scope":"all","late_value":0.2,"memory_span_ms":5000.0,
"name":"course-page","objective_ms":400.0,"stream":false,"worth":1.0}},
{{"deadline_ms":3000.0,"effect":"at_most_once","key_scope":"all","late_value":0.0,"memory_span_ms":5000.0,
"name":"enrol-submit","objective_ms":800.0,"stream":false,"worth":3.0}}],
"rules":{{"answer_slack_ms":8.0,"ask_within_ms":10000.0,"cold_from":0.19,"fall_ms":{window_ms:.1},"overload_factor":2.0,
"stop_sending_within_ms":{drain_grace_ms:.1},"warm_within_ms":17000.0}},
"stats":{{"fields":["outstanding","x0","x1"],"via":"inline"}},"tick_ms":2.0,"tier":0,"tiers":["campus-cache"],
"value_by":"request","weights":"nominal","zone":"campus-{campus}","zones":["north","south","campus-1","campus-2","campus-3"]}}"#
        )
    }

    /// The configuration of the dispatcher with that number.
    pub fn configuration(
        &self,
        number: u32,
        listen: SocketAddr,
        coordinator: SocketAddr,
        known: &str,
    ) -> String {
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"coordinator":"{coordinator}",
"flow_bytes_per_s":{BYTES_PER_S:.0},"link_bytes_per_s":1240000,"known":{known},"settings":{}}}"#,
            seed(),
            self.settings(number)
        )
    }
}

/// A seed, new with each start.
fn seed() -> u64 {
    RandomState::new().hash_one(0)
}

/// The bytes of an object of that many KB.
pub fn body(text: &str, kb: f64) -> Vec<u8> {
    let length = (kb * BYTES_PER_S / KB_PER_S) as usize;
    let mut bytes = text.as_bytes().to_vec();
    bytes.resize(length.max(bytes.len()), b'.');
    bytes
}
