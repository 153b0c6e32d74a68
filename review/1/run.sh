#!/usr/bin/env bash
# Two daemons order as the one holder after a drill of the store. TROUBLE=0: without drills.
set -euo pipefail
cd "$(dirname "$0")/../.."
. bin/environment || exit 2
[ -d target/review ] && [ -d target/platform ] || { echo "build first: bin/build-platform, review/build.sh" >&2; exit 2; }
exec timeout 118 "$JAVA_HOME/bin/java" --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp 'target/review:target/platform/*' \
	TwoHolders review/1/record.txt
