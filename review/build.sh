#!/bin/sh
# Builds the stand-ins of the cases into target/review; needs the build of the deploy file.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 70
. "$root/jdk.sh"
find_jdk || exit 69
cd "$root" || exit 70
rm -rf target/review
mkdir -p target/review || exit 70
exec "$JAVA_HOME/bin/javac" -nowarn --release 25 -cp target/jujuberouter-0.1.0-all.jar -d target/review review/standin/review/*.java
