# Sourced by the programs of this folder: builds once if needed, then runs a main class.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

build_if_needed() {
  # The stamp is older than a source that was changed or pulled since: old classes would run without a word.
  local stamp="$root/target/built.stamp"
  if [ ! -f "$stamp" ] || [ -n "$(find "$root/src/main" "$root/pom.xml" -newer "$stamp" -print -quit)" ]; then
    (cd "$root" && mvn -B -ntp -q -Dstyle.color=never process-classes 1>&2 && touch "$stamp")
  fi
}

run_main() {
  local main_class="$1"
  shift
  build_if_needed
  # shellcheck disable=SC2086
  exec java -XX:+UseSerialGC -Djava.awt.headless=true ${DOGWOODWINCH_JAVA_OPTS:-} \
    -cp "$root/target/classes:$root/target/lib/*" "$main_class" "$@"
}
