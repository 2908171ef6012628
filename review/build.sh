#!/usr/bin/env bash
# Builds what the scripts of review/ start, after the build of the deploy file. The project's own stand-ins are in its jar.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review -cp 'target/dogwoodwinch.jar:target/lib/*' review/src/*.java
