.PHONY: help build test lint run toy sites capacity

help:
	@echo "make build | test | lint | run CONFIG=file.json | toy | sites | capacity"

build:
	cargo build --release

test:
	cargo test --workspace

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps

CONFIG ?= examples/toy/config.json

run: build
	GW_CONFIG=$(CONFIG) target/release/flaxdeck-dispatcher

toy:
	cargo run -p flaxdeck-toy -- world examples/toy/config.json

# What a play of deploy/sites/*.toml reads beside the site file; of the operators' kit, so not part of the repository.
KIT ?= ../given/kit

sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json deploy/sites/
	cat $(KIT)/sites/unlock.txt $(KIT)/more/mass/unlock.txt > deploy/sites/unlock.txt

# Slopes, charts and the capacity page from the runs in docs/capacity/runs.
capacity:
	cargo build -p flaxdeck-cli
	target/debug/flaxdeck capacity fit docs/capacity/runs docs/capacity/slopes.csv
	target/debug/flaxdeck capacity charts docs/capacity/runs docs/capacity
	target/debug/flaxdeck capacity docs/capacity/slopes.csv docs/capacity/target.plan > docs/CAPACITY.md
