#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 and later, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/environment
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:-options -cp 'target/platform/*' -d target/review-2 review/kit-2/src/*.java
