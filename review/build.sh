#!/usr/bin/env bash
# Bundles the stand-ins of all cases into target/review, from the project's own modules.
set -eu
cd "$(dirname "$0")/.."
node --input-type=module -e '
import { readdirSync } from "node:fs";
import { build } from "esbuild";
const entryPoints = readdirSync("review", { recursive: true })
  .filter((path) => /^[0-9x]+.?case\.ts$/.test(path))
  .map((path) => ({ in: `review/${path}`, out: path.replace(/.ts$/, "") }));
await build({
  entryPoints,
  outdir: "target/review",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  logLevel: "warning",
});
'
