#!/bin/sh
# Builds the binary, a runtime image of JDK 25, so that machines need no Java, and an ahead-of-time cache of the
# classes, call sites and method profiles of an instance, so that one that is started again serves sooner.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 70
. "$root/jdk.sh"
find_jdk || exit 69
cd "$root" || exit 70
jar=target/jujuberouter-0.1.0-all.jar
mvn -B -q -DskipTests -Dcheckstyle.skip -Dspotless.check.skip package || exit 1
rm -rf target/runtime target/gateway.aot
"$JAVA_HOME/bin/jlink" --generate-cds-archive --strip-debug --no-header-files --no-man-pages --output target/runtime \
    --add-modules java.base,java.logging,java.management,java.net.http,java.sql,java.xml,jdk.httpserver,jdk.unsupported \
    || exit 1
target/runtime/bin/java -XX:AOTCacheOutput=target/gateway.aot -Xmx160m -Xss256k -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -Djdk.httpclient.allowRestrictedHeaders=host --sun-misc-unsafe-memory-access=allow \
    -cp $jar org.jujuberouter.cli.Main train > target/train.log 2>&1 \
    || { echo "the training run failed; see target/train.log" >&2; exit 1; }
