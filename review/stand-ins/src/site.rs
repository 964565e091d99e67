//! A small deployment with the figures of `enrol-portal`: its hosts, its settings and its objects.

use crate::coordinator::{Entry, Health};
use std::net::SocketAddr;

pub const ZONES: [&str; 6] = [
    "northern", "central", "southern", "edge-1", "edge-2", "edge-3",
];
pub const KINDS: [&str; 3] = ["standard", "parent", "origin"];
pub const CACHE: u8 = 0;
pub const PARENT: u8 = 1;
pub const ORIGIN: u8 = 2;
/// Place in `ZONES` of the first location, that of the dispatchers and caches where there is only one.
pub const OWN_ZONE: u8 = 3;
/// Pace of one answer to a client, KB a second; the pages say 2.1 to 11 MB.
pub const CLIENT_KB_PER_S: f64 = 4000.0;

pub fn entry(id: u32, address: SocketAddr, kind: u8, weight: u32) -> Entry {
    Entry {
        id,
        address,
        health: Health::Ready,
        zone: if kind == CACHE {
            OWN_ZONE
        } else {
            id as u8 % 3
        },
        kind,
        cell: 0,
        weight,
        born_ms: 0,
    }
}

/// The time that an object of that size takes to a client at full pace.
pub fn transfer_ms(kb: f64) -> f64 {
    kb / CLIENT_KB_PER_S * 1000.0
}

/// The bytes of a part of an object, in the version that the origin gives out at a time.
pub fn object(key: &str, part: &str, version: u64, kb: f64) -> Vec<u8> {
    let length = ((kb * 10.0) as usize).clamp(64, 240_000);
    let mut text = format!("{key}/{part}/{version} ").into_bytes();
    while text.len() < length {
        text.extend_from_within(..text.len().min(length - text.len()));
    }
    text
}

/// The configuration of a dispatcher.
pub fn config(
    number: u32,
    listen: SocketAddr,
    coordinator: SocketAddr,
    entries: &[Entry],
    settings: &str,
) -> String {
    let (name, seed) = (
        format!("n{number}"),
        0x8c1f_30d2_7a5b_e964 + u64::from(number),
    );
    let hosts: Vec<String> = entries
        .iter()
        .map(|entry| entry.json(&ZONES, &KINDS))
        .collect();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"coordinator":"{coordinator}","flow_bytes_per_s":40000,"link_bytes_per_s":1240000,
"known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},
"settings":{settings}}}"#,
        hosts.join(",")
    )
}

/// The settings of `enrol-portal`, for that many dispatchers, all in one location.
pub fn settings(dispatchers: u32) -> String {
    format!(
        r#"{{"allowed": {{"cancel": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 400.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "max_attempts": 6, "max_retry_after_ms": 2000.0, "may_duplicate": true, "may_tell": false, "most_held": 20000, "probes": false, "retry_after": true, "streams_per_conn": 100}},
 "clients": {{"marks_retry": true}},
 "discovery": "pushed",
 "family": "edge",
 "family_info": {{"aged_worth": [0.7, 0.7, 0.7], "class_parts": [true, false, false], "client_kb_per_s": {CLIENT_KB_PER_S:.1}, "collapses": false, "count_by_zone": [0, 0, 0, {dispatchers}], "direct": true, "goes_through": [false, false, true], "inlet_cost": 0.06, "inlet_kb_per_s": [0.0, 0.0, 0.0, 0.0], "max_age_ms": [0.0, 12000.0, 0.0], "neighbours": "any", "older_by_ms": [0.0, 20000.0, 0.0], "origin_fall_ms": 3000.0, "origin_fall_multiple": 0.0, "purge_grace_ms": 500.0, "purge_settles_ms": 6000.0, "report_x0": "share of hits, lately", "report_x1": "a cache: transfers on its location's link over those that fit at full pace; a parent: fetches out", "shield_kind": 1, "source_kind": 2, "tells": "all", "upper_cold_from": 0.074, "upper_cold_ms": 22000.0, "upper_fall_multiple": 2.0, "zone_hub": [0, 1, 2, 0]}},
 "goal": {{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2}},
 "group_size": {dispatchers},
 "kinds": ["standard", "parent", "origin"],
 "my_number": 0,
 "over_share_worth": 0.1,
 "parties": [],
 "prices": {{"connection": 0.0, "cross_zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.08, "moves": 0.0, "origin": 0.08, "peer": 0.0, "probe": 0.0, "waste": 0.08}},
 "request_classes": [{{"aim_stretch": 1.6, "deadline_ms": 6000.0, "effect": "idempotent", "key_scope": "all", "late_value": 0.15, "memory_span_ms": 5000.0, "name": "video-part", "objective_ms": 500.0, "stream": false, "worth": 2.0}}, {{"aim_stretch": 2.0, "deadline_ms": 2500.0, "effect": "idempotent", "key_scope": "all", "late_value": 0.2, "memory_span_ms": 5000.0, "name": "course-page", "objective_ms": 400.0, "stream": false, "worth": 1.0}}, {{"deadline_ms": 3000.0, "effect": "at_most_once", "key_scope": "all", "late_value": 0.0, "memory_span_ms": 5000.0, "name": "enrol-submit", "objective_ms": 800.0, "stream": false, "worth": 3.0}}],
 "rules": {{"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.19, "fall_ms": 3000.0, "overload_factor": 2.0, "stop_sending_within_ms": 1000.0, "warm_within_ms": 17000.0}},
 "stats": {{"fields": ["outstanding", "x0", "x1"], "via": "off"}},
 "tick_ms": 2.0,
 "tier": 0,
 "tiers": ["campus-cache"],
 "value_by": "request",
 "weights": "nominal",
 "zone": "edge-1",
 "zones": ["northern", "central", "southern", "edge-1"]}}"#
    )
}

/// The settings of `enrol-portal` for the dispatcher of one of three locations, which have one dispatcher each.
pub fn settings_of_three(location: u32) -> String {
    settings(3)
        .replace(
            r#""count_by_zone": [0, 0, 0, 3]"#,
            r#""count_by_zone": [0, 0, 0, 1, 1, 1]"#,
        )
        .replace(
            r#""inlet_kb_per_s": [0.0, 0.0, 0.0, 0.0]"#,
            r#""inlet_kb_per_s": [0.0, 0.0, 0.0, 0.0, 0.0, 0.0]"#,
        )
        .replace(
            r#""zone_hub": [0, 1, 2, 0]"#,
            r#""zone_hub": [0, 1, 2, 0, 1, 2]"#,
        )
        .replace(r#""my_number": 0"#, &format!(r#""my_number": {location}"#))
        .replace(
            r#""zone": "edge-1""#,
            &format!(
                r#""zone": "{}""#,
                ZONES[(OWN_ZONE as u32 + location) as usize]
            ),
        )
        .replace(
            r#""southern", "edge-1"]}"#,
            r#""southern", "edge-1", "edge-2", "edge-3"]}"#,
        )
}
