#!/usr/bin/env bash
# Part of the build: runs an edge node for a moment and has the JVM archive the classes it loaded
# (class-data sharing). Half of a start's CPU time went into loading them, on the one core that an edge node
# shares. The node is its own app server, discovery and counter here: all of them answer 4xx, and the classes
# for talking to them are loaded all the same. Without an archive `run` still works, it only starts slower.
set -u
cd "$(dirname "$0")/.."
# A port of its own for each build, below those that the system gives out: two may be built at once.
port=$((20000 + $$ % 10000))
sed "s/127\.0\.0\.1:18093/127.0.0.1:$port/" deploy/class-archive-node.json > target/archive.json
GW_CONFIG=target/archive.json java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:C1MaxInlineSize=8 \
  -XX:C1MaxInlineLevel=2 -Dio.netty.jfr.enabled=false \
  -XX:ArchiveClassesAtExit=target/merlinrouter.jsa -jar target/merlinrouter.jar serve > target/archive.log 2>&1 &
node=$!
request() {
  exec 3<> /dev/tcp/127.0.0.1/$port || return 1
  printf '%s /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Plan: only\r\n' "$@" >&3
  printf 'Cookie: customer=0000000000000001\r\nX-Expires-In-Ms: 500\r\nIdempotency-Key: k\r\n' >&3
  printf 'X-Quota: units=1,spread=2,first=0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' >&3
  cat <&3 > /dev/null
  exec 3>&-
}
for _ in $(seq 50); do
  { request GET 1 read; } 2> /dev/null && break
  sleep 0.1
done
{ request POST 2 write; request GET 3 unknown; } 2> /dev/null
kill "$node"
wait "$node"
exit 0
