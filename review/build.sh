#!/usr/bin/env bash
# Bundles the script of each case with the stand-ins that it starts into target/review/. Needs the modules that the build of the
# deploy file installs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/[1-5]/case.js; do
	[ -e "$script" ] || continue
	number=$(basename "$(dirname "$script")")
	node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
		--banner:js='import {createRequire as __createRequire} from "node:module"; const require = __createRequire(import.meta.url);' \
		--outfile="target/review/case-$number.mjs"
done
