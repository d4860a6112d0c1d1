#!/bin/bash
# run-case.sh FOLDER NAME: plays the case NAME and writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
folder=$(cd "$1" && pwd)
stand="$root/build-review-2/review-stand-2"
CASE_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -x "$stand" ] && [ -n "$CASE_RUN" ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
CASE_RECORD="$folder/record.txt"
export CASE_RUN CASE_TMP CASE_RECORD TROUBLE="${TROUBLE:-1}"
cd "$root" || exit 2
# The routers end with the stand-ins (PR_SET_PDEATHSIG), also if those are killed.
timeout -k 2 115 "$stand" "$2" &
child=$!
trap 'kill "$child" 2> /dev/null; wait "$child"; rm -rf "$CASE_TMP"; exit 2' TERM INT HUP
wait "$child"
verdict=$?
rm -rf "$CASE_TMP"
case $verdict in 0 | 1) exit $verdict ;; *) exit 2 ;; esac
