#!/bin/sh
# Builds the binary and a runtime image of JDK 25 under target/, so that machines need no Java.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 70
. "$root/jdk.sh"
find_jdk || exit 69
cd "$root" || exit 70
mvn -B -q -DskipTests -Dcheckstyle.skip -Dspotless.check.skip package || exit 1
rm -rf target/runtime
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,java.management,jdk.unsupported,java.xml,java.sql \
    --strip-debug --no-header-files --no-man-pages --output target/runtime || exit 1
