#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ -x ../../target/release/bayplank-platform ] || exit 2
timeout -k 3 118 python3 case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
