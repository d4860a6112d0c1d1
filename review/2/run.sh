#!/bin/bash
# Case 2. See claim.txt; with TROUBLE=0 no connection is reset.
exec "$(dirname "$0")/../run-case" 2
