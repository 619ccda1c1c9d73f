#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption, which must pass.
trouble=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
. ./jdk.sh
find_jdk || exit 2
[ -d target/review-3/lab ] || { echo "run review/build-3.sh first" >&2; exit 2; }
"$JAVA_HOME/bin/java" -Xmx256m -Dtrouble="$trouble" -cp target/review-3:target/jujuberouter-0.1.0-all.jar lab.Foreign "$here" &
main=$!
trap 'kill "$main" 2>/dev/null' INT TERM
wait "$main"
result=$?
[ "$result" -le 2 ] && exit "$result"
exit 2
