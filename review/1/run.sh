#!/usr/bin/env bash
# The open channels to the store go silent, and a route moves to another service. TROUBLE=0: no channel goes silent.
set -euo pipefail
cd "$(dirname "$0")/../.."
. bin/environment || exit 2
[ -d target/review ] && [ -d target/platform ] || { echo "build first: bin/build-platform, review/build.sh" >&2; exit 2; }
exec timeout 118 "$JAVA_HOME/bin/java" --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp 'target/review:target/platform/*' \
	SilentChannels review/1/record.txt
