#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the build of the deploy file before it.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/environment
mkdir -p target/review
"$JAVA_HOME/bin/javac" -nowarn -d target/review -cp 'target/platform/*' review/harness/*.java
