#!/bin/bash
# Case 3. See claim.txt; with TROUBLE=0 all descriptions are short.
exec "$(dirname "$0")/../run-case" 3
