#!/usr/bin/env bash
# Part of the build: runs an edge node briefly and makes the JVM archive the classes that it has loaded (class-data
# sharing), so that a start does not spend half of its CPU time on loading classes. The node is its own endpoint,
# discovery and counter: all calls to them get 4xx responses, but the classes for making these calls are loaded.
# Without the archive the `run` command of deploy/balancer.toml still works, but starts more slowly.
set -u
cd "$(dirname "$0")/.."
# A port derived from the process id, below the system's ephemeral ports, so that two builds may run concurrently.
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
