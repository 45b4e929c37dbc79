#!/bin/sh
# Runs the case with the given number from the root of the project, for 118 seconds at most.
case=$1
cd "$(dirname "$0")/.." || exit 2
[ -x "bin/review-$case" ] && [ -x bin/merlinjunction ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
dir=$(mktemp -d) || exit 2
clean() {
	[ -f "$dir/gateway.pid" ] && kill -9 "$(cat "$dir/gateway.pid")" 2>/dev/null
	rm -rf "$dir"
}
trap clean EXIT
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM
timeout -k 2 116 "bin/review-$case" "review/$case/record.txt" "$dir" &
child=$!
wait "$child"
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
