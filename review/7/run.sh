#!/bin/bash
# Two routers that start in the same second give their Diameter calls the same ids, and one ends calls of the other.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../stand-2/run-case.sh" "$(dirname "$0")" same-id
