#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/target/review-2/release/stand-ins-2
for needed in "$program" "$root/target/release/flaxdeck-dispatcher" "$root/target/release/flaxdeck"; do
  [ -x "$needed" ] || { echo "$needed is not built"; exit 2; }
done
folder=$(mktemp -d) || exit 2
clean_up() {
  [ -z "$player" ] || kill "$player" 2>/dev/null
  while read -r pid; do kill -9 "$pid" 2>/dev/null; done 2>/dev/null <"$folder/pids"
  rm -rf "$folder"
}
player=
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
"$program" bad-figure "$root" "$here/record.txt" "$folder" &
player=$!
seconds=0
while kill -0 "$player" 2>/dev/null; do
  [ "$seconds" -lt 110 ] || { echo "the case takes too long"; exit 2; }
  sleep 1
  seconds=$((seconds + 1))
done
wait "$player"
code=$?
player=
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
