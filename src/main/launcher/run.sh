find_jdk || exit 69
exec "$JAVA_HOME/bin/java" ${JUJUBEROUTER_JAVA_OPTS:-} --sun-misc-unsafe-memory-access=allow -XX:+UseSerialGC -jar "$0" "$@"
exit 70
