#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# disruption is left out.
export TROUBLE="${TROUBLE:-1}"
here="review/$(basename "$(cd "$(dirname "$0")" && pwd)")"
cd "$(dirname "$0")/../.." || exit 2
stand=target/review-2/release/stand-2
if [ ! -x target/release/hemlockcleat-platform ] || [ ! -x "$stand" ]; then
    echo "build the system and run review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
clean() {
    # Ends what the stand-in has started, should it have ended without doing so.
    while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = hemlockcleat-pl ] && kill -9 "$pid"
    done < <(cat "$folder/pids" 2>/dev/null)
    rm -rf "$folder"
}
trap clean EXIT
timeout -k 2 115 "$stand" pending "$here/record.txt" "$folder" &
running=$!
# A script that is ended early ends the stand-in too, and by the trap above all that it has started.
trap 'kill -TERM "$running" 2>/dev/null; wait "$running"; exit 2' TERM INT
wait "$running"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
