#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$here/../standin-2/run-case.sh" CaseLine "$here"
