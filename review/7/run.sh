#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
# disruption is left out. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" || exit 2
target=../../target
export GATEWAY=$PWD/$target/release/fescuedrift RECORD=$PWD/record.txt
[ -x "$GATEWAY" ] && [ -x "$target/review-2/release/rejoin" ] || exit 2
"$target/review-2/release/rejoin"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
