.PHONY: help build test lint run toy sites

help:
	@echo "make build | test | lint | run CONFIG=file.json | toy | sites"

build:
	cargo build --release

test:
	cargo test --workspace

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings

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
