#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the freeze out.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-3 FrozenOwner . review/11
