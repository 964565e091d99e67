#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" slow-writer review/1
