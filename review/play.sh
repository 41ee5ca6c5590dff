#!/usr/bin/env bash
# Plays a case of the stand-ins: play.sh FOLDER CASE. Writes FOLDER/record.txt and passes the exit
# status on; whatever happens, no process of the case is left.
set -u
folder=$1
cd "$(dirname "$0")/.."
pids=$(mktemp)
end_processes() {
    while read -r pid; do
        if [ -r "/proc/$pid/cmdline" ] && grep -qa geraniumpost "/proc/$pid/cmdline"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done < "$pids"
    rm -f "$pids"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
if [ ! -x target/review/standin ] || [ ! -x target/release/geraniumpost ]; then
    echo "build the deploy file's target and review/build.sh first"
    exit 2
fi
RECORD="$folder/record.txt" PIDS="$pids" timeout 118 target/review/standin "$2" &
wait $!
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
