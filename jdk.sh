# Sets JAVA_HOME to a JDK 25. Looks at JAVA_HOME first, then at the places where the system installs JDKs.
find_jdk() {
    for home in "${JAVA_HOME:-}" /usr/lib/jvm/*25* /opt/java/*25* /opt/jdk*25* "${HOME:-}"/.sdkman/candidates/java/25*; do
        [ -n "$home" ] && [ -x "$home/bin/javac" ] && [ -r "$home/release" ] || continue
        if grep -q '^JAVA_VERSION="25' "$home/release"; then
            JAVA_HOME=$home
            export JAVA_HOME
            return 0
        fi
    done
    echo "JDK 25 was not found. Looked for bin/javac and a release file of version 25 in" \
        "JAVA_HOME (${JAVA_HOME:-not set}), /usr/lib/jvm/*25*, /opt/java/*25*, /opt/jdk*25* and" \
        "~/.sdkman/candidates/java/25*. Install JDK 25 or set JAVA_HOME." >&2
    return 1
}
