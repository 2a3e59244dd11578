#!/bin/sh
# Builds what the scripts of this review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec node review/lib-2/build.mjs
