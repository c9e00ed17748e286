#!/usr/bin/env bash
# Builds what the scripts of this review start. Their stand-ins are modules that Node.js runs as they are and that use nothing
# but what it brings, so they are only checked here; the programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/platform/bin/bramblebend.cjs ]; then
  [ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
  node deploy/bundle.mjs
fi
for file in review/lib-2/lab.mjs review/[4-8]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
