#!/bin/sh
# Compiles the stand-ins and the cases to review/target. Needs the JDK alone.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac --release 17 -Xlint:all -d target standins/*.java [0-9]*/*.java
