find_jdk || exit 69
exec "$JAVA_HOME/bin/java" ${JUJUBEROUTER_JAVA_OPTS:-} -XX:+UseSerialGC -jar "$0" "$@"
exit 70
