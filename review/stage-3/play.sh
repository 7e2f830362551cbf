#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
stage=target/review-3/stage
if [ ! -x "$stage" ] || [ ! -x target/release/sapphired ]; then
    echo "build the project with the command of the deploy file, then run review/build-3.sh"
    exit 2
fi
temporary=$(mktemp -d) || exit 2

# Ends the processes that the case has started and that are left, and removes their files.
finish() {
    [ -n "${child:-}" ] && kill "$child" 2>/dev/null
    while read -r id; do
        if cat "/proc/$id/cmdline" 2>/dev/null | tr '\0' ' ' | grep -qF "$temporary"; then
            kill -9 "$id" 2>/dev/null
        fi
    done < <(cat "$temporary/processes" 2>/dev/null)
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM

timeout 118 "$stage" "$1" "$temporary" "$2/record.txt" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
