#!/bin/sh
# Builds the stand-ins and cases of review/standin-2 into target/review-2. Needs the jar of deploy/build.sh, whose JSON library they use.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 70
. "$root/jdk.sh"
find_jdk || exit 69
cd "$root" || exit 70
rm -rf target/review-2
mkdir -p target/review-2 || exit 1
"$JAVA_HOME/bin/javac" -Xlint:all -Xlint:-this-escape -cp target/jujuberouter-0.1.0-all.jar -d target/review-2 review/standin-2/*.java
