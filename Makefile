.PHONY: help build test lint run toy

help:
	@echo "make build | test | lint | run CONFIG=file.json | toy"

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
