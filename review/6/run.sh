#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=TERM --kill-after=5 115 target/review-2/stand-ins-2 reservation target/wasabihoist review/6/record.txt
