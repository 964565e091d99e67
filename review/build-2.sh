#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file: the program `flaxdeck`, whose
# forwarder one of them runs, and the stand-ins. Needs no network once the crates of Cargo.lock are at hand.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p flaxdeck-cli
cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
