#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 7, with the JDK alone. The programs of the project come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/src-2/stand/*.java
