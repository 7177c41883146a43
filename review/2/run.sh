#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/OneByteChunks.class ] && [ -f target/merlinrouter.jar ] || exit 2
java -Xmx512m -XX:-UsePerfData -Djava.net.preferIPv4Stack=true -cp review/target OneByteChunks . review/2 &
# The case ends its edge nodes when it is told to end.
trap 'kill "$!"' TERM INT HUP
wait "$!"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
