#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" planner review/3
