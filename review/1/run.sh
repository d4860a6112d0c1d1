#!/bin/bash
# Case 1. See claim.txt; TROUBLE=0 leaves the replacement of the server's process out.
exec "$(dirname "$0")/../run-case" 1
