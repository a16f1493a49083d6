#!/bin/sh
# Runs case "count" of review/harness. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-harness count review/5
