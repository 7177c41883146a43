#!/usr/bin/env bash
# Builds, lints and tests both modules; arguments go to Maven. The emulator's tests run the program just built.
set -euo pipefail
cd "$(dirname "$0")"
mvn -B -ntp verify "$@"
mvn -B -ntp -f emulator verify "$@"
