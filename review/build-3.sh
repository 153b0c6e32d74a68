#!/bin/bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
. bin/environment
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -nowarn -d target/review-3 -cp 'target/platform/*' review/kit-3/src/review3/*.java
