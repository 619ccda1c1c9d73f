#!/bin/sh
# Runs one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
[ -f "target/review-2/$1.class" ] && [ -x target/runtime/bin/java ] || exit 2
RECORD="$2/record.txt"
export RECORD
exec target/runtime/bin/java -Xmx256m -cp target/review-2:target/jujuberouter-0.1.0-all.jar "$1"
