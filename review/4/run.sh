#!/bin/sh
# Runs case "exclusion" of review/harness. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-harness exclusion review/4
