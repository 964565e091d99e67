#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" outage review/3
