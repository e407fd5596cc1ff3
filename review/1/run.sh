#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec java -Xmx256m -cp target/review review.SecondRefusal review/1/record.txt
