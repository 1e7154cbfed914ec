#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/bin/milletbarrow" ] && [ -x "$root/review/bin/kit2" ] || { echo "build first: deploy/balancer.toml, review/build-2.sh"; exit 2; }
exec timeout --preserve-status -k 10 100 "$root/review/bin/kit2" window --root "$root" --record "$here/record.txt"
