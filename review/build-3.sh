#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, with the JSON library of the project's binary, into target/review-3.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 70
. "$root/jdk.sh"
find_jdk || exit 69
cd "$root" || exit 70
rm -rf target/review-3
mkdir -p target/review-3 || exit 70
"$JAVA_HOME/bin/javac" -d target/review-3 -cp target/jujuberouter-0.1.0-all.jar review/standin-3/lab/*.java
