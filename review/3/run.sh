#!/bin/bash
# Case 3. See claim.txt; with TROUBLE=0 the new file is whole.
exec "$(dirname "$0")/../run-case" 3
