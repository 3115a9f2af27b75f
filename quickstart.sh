#!/usr/bin/env bash
# Builds the project, runs the main job with stand-ins on loopback, and stops what it started.
set -eu
root=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$root"
command -v java >/dev/null || { echo "error: no java on the path; JDK 17 is needed" >&2; exit 1; }
command -v mvn >/dev/null || { echo "error: no mvn on the path; Maven is needed" >&2; exit 1; }
version=$(java -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1)
[ "${version:-0}" -ge 17 ] || { echo "error: java is version ${version:-unknown}; 17 is needed" >&2; exit 1; }

ports="17000 17071 17072 17081 17082 17091 17092 17093 17094"
for port in $ports; do
	if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
		echo "error: port $port is in use by another process; free it and run again" >&2
		exit 1
	fi
done

echo "== build"
if [ ! -d standin/target/lib ] || [ -n "$(find ./*/src/main -newer standin/target/lib -name '*.java' | head -n 1)" ]; then
	mvn -q -B package -DskipTests
fi

logs=$(mktemp -d)
pids=""
stop() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT
start() {
	name=$1
	shift
	"$@" >"$logs/$name" 2>&1 &
	pids="$! $pids"
}
await() {
	for _ in $(seq 1 300); do
		if bin/baobabspar-wait "$1" 2>/dev/null; then return 0; fi
		sleep 0.1
	done
	echo "error: $1 did not become ready; see $logs" >&2
	tail -n 5 "$logs"/* >&2
	exit 1
}

echo "== start a log, two entries and four agents with endpoints in three failure domains"
start log bin/baobabspar-standin log --port 17000
start entry-1 bin/baobabspar entry --id entry-1 --failure-domain ahmedabad --http-port 17081 --link-port 17071 \
	--peers 127.0.0.1:17072 --log 127.0.0.1:17000 --usage-millis 500
start entry-2 bin/baobabspar entry --id entry-2 --failure-domain surat --http-port 17082 --link-port 17072 \
	--peers 127.0.0.1:17071 --log 127.0.0.1:17000 --usage-millis 500
i=0
for spec in ahmedabad:100 surat:150 vadodara:200 vadodara:400; do
	i=$((i + 1))
	start "endpoint-$i" bin/baobabspar-standin endpoint --port "1709$i" --slowness-percent "${spec#*:}"
	start "agent-$i" bin/baobabspar agent --id "agent-$i" --failure-domain "${spec%:*}" --entries 127.0.0.1:17071 \
		--endpoint "127.0.0.1:1709$i" --slots 8
done
await 127.0.0.1:17000/health

echo "== publish and promote the environment document"
bin/baobabspar env validate examples/environment.json
bin/baobabspar env publish --log 127.0.0.1:17000 --operator quickstart examples/environment.json
bin/baobabspar env promote --log 127.0.0.1:17000 --operator quickstart --environment production
await 127.0.0.1:17081/health/ready
await 127.0.0.1:17082/health/ready

run=$(date +%s)
for file in bikes tickets; do sed "s/\"idempotencyKey\": \"/&run-$run-/" "examples/$file.json" >"$logs/$file.json"; done
echo "== submit bike jobs through entry-1 and ticket jobs through entry-2"
bin/baobabspar submit --entry 127.0.0.1:17081 "$logs/bikes.json"
bin/baobabspar submit --entry 127.0.0.1:17082 "$logs/tickets.json"
sleep 2.5

echo "== status of entry-1"
bin/baobabspar status --entry 127.0.0.1:17081
echo "== use of each party"
bin/baobabspar settle --log 127.0.0.1:17000
echo "== stop"
