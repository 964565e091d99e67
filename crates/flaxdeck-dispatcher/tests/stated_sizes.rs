//! Sizes that clients state, beside the bytes of the answers. What follows from them is decided in the decision engine
//! (`tests/stated_sizes.rs` of the root package).

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use flaxdeck_toy::{Answer, Client, request_message};
use world::{KEY, World, served};

/// The size of the objects of the emulated hosts, where one byte is sent for each KB.
const OBJECT_KB: &str = "1320";

/// Starts a world in which one byte is sent for each KB.
fn world_with_bytes_as_kb() -> World {
    World::with_config(1, |config| {
        let bytes_per_s = config["flow_bytes_per_s"].clone();
        config["settings"]["family_info"]["client_kb_per_s"] = bytes_per_s;
    })
}

fn request(client: &mut Client, call: u32, kb: &str) -> Answer {
    let id = format!("{:016x}", 0x51_2000 + call);
    let fields = [
        ("id", id.as_str()),
        ("wait", "2400"),
        ("key", KEY),
        ("slice", "0"),
        ("kb", kb),
    ];
    client
        .send(&request_message(call, "page", &fields, b""))
        .unwrap();
    client.answer().unwrap()
}

// Guards against sizes that are taken at their word though the answer has another one.
#[test]
fn an_answer_of_another_size_than_stated_is_noticed() {
    let mut world = world_with_bytes_as_kb();
    let mut client = world.client();
    for (call, kb) in (1..).zip([OBJECT_KB, "0", "20", "100000"]) {
        assert!(served(&request(&mut client, call, kb), KEY), "kb {kb}");
    }
    world.terminate();
    world.wait_for_log(&["counted: ", "sizes_contradicted=2"]);
    assert!(world.process.wait().unwrap().success());
}

// Guards against sizes of less than a byte, which no object has, as the price of a fill.
#[test]
fn sizes_that_no_object_has_reach_no_host() {
    let world = world_with_bytes_as_kb();
    let mut client = world.client();
    for (call, kb) in (1..).zip(["1e-300", "0.0009", "-1", "1e9", "NaN", "inf"]) {
        assert!(
            matches!(request(&mut client, call, kb), Answer::Error { word, .. } if word != "Backoff"),
            "kb {kb}"
        );
    }
    assert!(world.hosts().all(|host| host.received("want").is_empty()));
    assert!(served(&request(&mut client, 9, OBJECT_KB), KEY));
}
