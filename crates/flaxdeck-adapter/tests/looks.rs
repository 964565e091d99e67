//! Runs the adapter's program with hosts that report their load only when polled.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::io::Write;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

/// Returns settings in which hosts report their load by the means `via`, and `probes` tells whether they may be polled.
fn settings(via: &str, probes: bool) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "objective_ms": 400.0, "aim_stretch": 2.0, "deadline_ms": 3000.0,
            "key_scope": "all", "memory_span_ms": 3000.0})
    };
    json!({
        "allowed": {"cancel": true, "max_attempts": 6, "may_duplicate": false, "probes": probes, "retry_after": true,
            "max_retry_after_ms": 2000.0},
        "family_info": {"class_parts": [false, false], "client_kb_per_s": 1000.0, "collapses": true,
            "count_by_zone": [0, 1], "direct": true, "goes_through": [false, true], "max_age_ms": [8000.0, 0.0],
            "older_by_ms": [20000.0, 0.0], "purge_settles_ms": 6000.0, "shield_kind": 1, "source_kind": 2,
            "upper_cold_from": 0.1, "upper_cold_ms": 20000.0, "upper_fall_multiple": 2.0},
        "group_size": 1, "kinds": ["cache", "parent", "origin"],
        "request_classes": [class("page", "idempotent"), class("note", "deduplicated")],
        "rules": {"cold_from": 0.3, "fall_ms": 1000.0, "overload_factor": 2.0, "warm_within_ms": 9000.0},
        "stats": {"fields": ["utilization", "x0", "x1"], "via": via},
        "tick_ms": 2.0, "zone": "edge-1", "zones": ["north", "edge-1"]
    })
}

/// Sends batches of events, each with its time, to the adapter. Returns its actions, one list for each batch.
fn replies(batches: &[(f64, Vec<Value>)]) -> Vec<Vec<Value>> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_flaxdeck-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for (at, events) in batches {
        writeln!(
            input,
            "{}",
            json!({"event_type": "Mark", "sim_time_ms": at})
        )
        .unwrap();
        for event in events {
            writeln!(input, "{event}").unwrap();
        }
        writeln!(input, "{}", json!({"event_type": "EofBatch"})).unwrap();
    }
    drop(input);
    let output = child.wait_with_output().unwrap();
    let mut batches = vec![Vec::new()];
    for line in String::from_utf8(output.stdout).unwrap().lines() {
        let action: Value = serde_json::from_str(line).unwrap();
        match action["event_type"].as_str() {
            Some("End") => batches.push(Vec::new()),
            _ => batches.last_mut().unwrap().push(action),
        }
    }
    batches
}

/// Returns the events that start an instance in a zone with one cache, and with a parent and an origin elsewhere.
fn launch_events(via: &str, probes: bool) -> Vec<Value> {
    let host = |name: &str, shape: &str, zone: &str| {
        json!({"host": name, "heft": 20.0, "region_part": zone, "cluster": 0, "shape": shape, "mode": "in_service",
            "boot_time_ms": null})
    };
    let hosts = [
        host("c:1", "cache", "edge-1"),
        host("p:1", "parent", "north"),
        host("o:1", "origin", "north"),
    ];
    vec![
        json!({"event_type": "Launch", "who": "d-0", "entropy": 7, "params": settings(via, probes)}),
        json!({"event_type": "Directory", "sheet": 0, "elements": hosts}),
        json!({"event_type": "Endpoints", "who": "d-0", "how": "Persisted", "version": 1, "sheet": 0}),
    ]
}

fn request(id: u64, at: f64) -> Value {
    json!({"event_type": "Accept", "who": "d-0", "request_id": id, "is_write": false, "key": id, "slice": 0,
        "set_no": 1, "qos": "page", "expires_ms": at + 3000.0})
}

/// Returns the actions of that type in a batch.
fn actions<'a>(batch: &'a [Value], name: &str) -> Vec<&'a Value> {
    batch
        .iter()
        .filter(|action| action["event_type"] == name)
        .collect()
}

#[test]
fn a_cache_is_polled_and_a_full_link_in_its_load_report_prevents_fills() {
    let check_result = json!({"event_type": "CheckResult", "who": "d-0", "host": "c:1", "reason": "S",
        "latency_ms": 2.0, "stats": [0.4, 0.7, 30.0]});
    let wake = json!({"event_type": "Elapsed", "who": "d-0", "ctx": 0});
    let batches = replies(&[
        (1000.0, launch_events("on_probe", true)),
        (1500.0, vec![wake]),
        (1510.0, vec![request(1, 1510.0)]),
        (1520.0, vec![check_result, request(2, 1520.0)]),
    ]);
    let polls = actions(&batches[1], "Inspect");
    assert_eq!(polls.len(), 1, "{:?}", batches[1]);
    assert_eq!(polls[0]["host"], "c:1");
    assert_eq!(actions(&batches[2], "Obtain")[0]["miss_from"], "p:1");
    let after = actions(&batches[3], "Obtain")[0];
    assert_eq!(
        after["miss_from"], "c:1",
        "with a full link, the cache must not fill a miss"
    );
    assert_eq!(after["how_old_ms"], 28_000.0, "a stale copy is accepted");
}

#[test]
fn hosts_are_not_polled_if_responses_carry_the_load_or_polls_are_not_allowed() {
    for (via, probes) in [("inline", true), ("on_probe", false), ("off", true)] {
        let wake = json!({"event_type": "Elapsed", "who": "d-0", "ctx": 0});
        let batches = replies(&[(1000.0, launch_events(via, probes)), (2500.0, vec![wake])]);
        assert!(
            batches
                .iter()
                .all(|batch| actions(batch, "Inspect").is_empty()),
            "via {via}, probes {probes}: a host was polled"
        );
    }
}
