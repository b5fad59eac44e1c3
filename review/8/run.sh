#!/usr/bin/env bash
# Exits with 1 if less than a quarter was served after the final fault, with 0 if the rule held, and with 2
# if the case could not run. TROUBLE=0 leaves the disruptions out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)" || exit 2
timeout 110 "$root/target/review-2/isolated" replace "$root/target/siskintrayd" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || { cat "$folder"/*.log >&2; code=2; }
[ -z "$KEEP_LOGS" ] || cp "$folder"/*.log "$KEEP_LOGS"/
rm -rf "$folder"
exit "$code"
