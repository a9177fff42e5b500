#!/usr/bin/env bash
# Without the build, and when a run takes too long, it ends with 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
script=target/review/case-3.mjs
[ -e "$script" ] && [ -e target/shallotloom-gateway.js ] || { echo 'build first: see review/REPORT.md' >&2; exit 2; }
exec timeout --preserve-status -k 3 115 node "$script"
