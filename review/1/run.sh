#!/usr/bin/env bash
# Plays 3 nodes, each alone in its failure domain, and stops one as the platform
# does. Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the stop out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
. review/standin/nodes.sh || exit 2
trap cleanup EXIT

readonly GRACE_S=6

choose_ports || exit 2
start_standin stop 3 "$case_folder/record.txt"
start_nodes 3
while kill -0 "$STANDIN_PID" 2>/dev/null; do
  if [ -e "$FOLDER/stop" ]; then
    kill -TERM "${NODE_PIDS[0]}"
    sleep "$GRACE_S"
    kill -KILL "${NODE_PIDS[0]}" 2>/dev/null
    break
  fi
  sleep 0.02
done
wait "$STANDIN_PID"
result=$?
STANDIN_PID=
exit "$result"
