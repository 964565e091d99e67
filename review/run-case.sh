#!/usr/bin/env bash
# Plays one case: run-case.sh CASE FOLDER. Ends all processes that were started for it.
set -u
cd "$(dirname "$0")/.."
temporary=$(mktemp -d)
child=
finish() {
  [ -z "$child" ] || kill -TERM "$child" 2>/dev/null
  # A process that has ended and whose number is taken again is not one of these: a command line is looked for.
  for pid in $(cat "$temporary"/pids 2>/dev/null); do
    if grep -q flaxdeck "/proc/$pid/cmdline" 2>/dev/null; then kill -KILL "$pid"; fi
  done
  rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
if [ ! -x target/release/flaxdeck-dispatcher ] || [ ! -x review/stand-ins/target/release/review-stand-ins ]; then
  echo "build first: the build line of deploy/balancer.toml, then review/build.sh"
  exit 2
fi
timeout -k 2 116 review/stand-ins/target/release/review-stand-ins "$1" "$2" "$temporary" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
