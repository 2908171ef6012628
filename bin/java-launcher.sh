# Sourced by the programs of this folder: builds once if needed, then runs a main class.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

build_if_needed() {
  if [ ! -d "$root/target/lib" ] || [ ! -d "$root/target/classes/org/dogwoodwinch" ]; then
    (cd "$root" && mvn -B -ntp -q -Dstyle.color=never process-classes 1>&2)
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
