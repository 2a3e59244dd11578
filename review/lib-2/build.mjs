// Bundles the cases of this review, with the stand-ins that they start.
import { existsSync, readdirSync } from "node:fs";
import { build } from "esbuild";

const cases = readdirSync("review").filter((name) =>
  existsSync(`review/${name}/case.ts`)
);
if (cases.length > 0) {
  await build({
    entryPoints: Object.fromEntries(
      cases.map((name) => [`case-${name}`, `review/${name}/case.ts`]),
    ),
    outdir: "target/review-2",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    logLevel: "warning",
  });
}
