// Bundles each program into one file, so that it starts fast and needs no separate loader process.
import { spawnSync } from "node:child_process";
import process from "node:process";
import { build } from "esbuild";

const PLATFORM_PROGRAMS = {
  "target/teaselvalve": "platform/src/main.ts",
};

const PROGRAMS = {
  ...PLATFORM_PROGRAMS,
  "packages/daemon/dist/teaselvalved": "packages/daemon/src/main.ts",
  "packages/cli/dist/teaselvalve": "packages/cli/src/main.ts",
  "packages/fakes/dist/fakes": "packages/fakes/src/main.ts",
  "packages/bench/dist/demo": "packages/bench/src/demo/main.ts",
  "packages/bench/dist/measure_configuration":
    "packages/bench/src/measure/configuration.ts",
  "packages/bench/dist/fuzz": "packages/bench/src/fuzz/main.ts",
  "packages/bench/dist/scenarios": "packages/bench/src/scenarios/main.ts",
  "packages/bench/dist/measure_vms":
    "packages/bench/src/processes/measure_vms.ts",
  "packages/bench/dist/slopes": "packages/bench/src/slopes/main.ts",
  "packages/bench/dist/bench_calls": "packages/bench/src/calls_bench/main.ts",
  "packages/bench/dist/experiment": "packages/bench/src/experiment/main.ts",
  "packages/bench/dist/bench": "packages/bench/src/bench/main.ts",
  "platform/dist/soak": "platform/src/testing/soak/main.ts",
  "platform/dist/overload": "platform/src/testing/load/main.ts",
  "platform/dist/load_process": "platform/src/testing/load/load_process.ts",
};

// With the argument `platform`, only the programs that run on the platform are built.
const platformOnly = process.argv[2] === "platform";

// The commit, so that logs tell which build a VM runs; unknown outside a checkout.
const { stdout } = spawnSync("git", ["rev-parse", "--short", "HEAD"], {
  encoding: "utf8",
});
const commit = stdout?.trim() || "unknown";

await build({
  entryPoints: platformOnly ? PLATFORM_PROGRAMS : PROGRAMS,
  outdir: ".",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Less source text to keep in memory; identifiers are kept for readable stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  // Node prints the whole source line of an uncaught error, so lines are kept short.
  lineLimit: 160,
  sourcemap: true,
  logLevel: "warning",
  define: { BUILD_COMMIT: JSON.stringify(commit) },
  external: ["dtrace-provider", "moment", "mv", "safe-json-stringify"],
  banner: {
    js:
      'import { createRequire as teaselvalveCreateRequire } from "node:module"; const require = teaselvalveCreateRequire(import.meta.url);',
  },
});
