#!/usr/bin/env bash
# All processes are killed after the third crash by a request that crashes workers. TROUBLE=0: they are not killed.
set -euo pipefail
cd "$(dirname "$0")/../.."
. bin/environment || exit 2
[ -d target/review ] && [ -d target/platform ] || { echo "build first: bin/build-platform, review/build.sh" >&2; exit 2; }
exec timeout 118 "$JAVA_HOME/bin/java" --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp 'target/review:target/platform/*' \
	CrashingRequest review/5/record.txt
