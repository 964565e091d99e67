#!/usr/bin/env bash
# Builds what the cases start beside the programs of the deploy file: the stand-ins, which use the standard library
# alone, and the project's program `flaxdeck` for case 3 (planner and forwarders).
set -euo pipefail
cd "$(dirname "$0")"
(cd stand-ins && cargo build --release --locked)
(cd .. && cargo build --release --locked -p flaxdeck-cli)
