/**
 * Scores the deployments that must not get worse, one after the other, and prints a
 * table with their gates. Run it from a separate checkout, as each run of the bench
 * builds the program.
 *
 *   node scripts/regression.js BENCH SITES_FOLDER [--jobs N]
 *
 * BENCH is the users' bench, SITES_FOLDER the folder that holds their deployments.
 * Exits with 1 if a gate is not passed.
 */
import { spawnSync } from "node:child_process";
import { join } from "node:path";
import process from "node:process";

/**
 * The deployments, smallest first. Those of 60 VMs or more are played one day at a
 * time, as a day takes up to half of a machine's memory.
 */
const SITES = [
  { file: "sites/valmis-tilasto.toml", isLarge: false },
  { file: "sites/aile-formu.toml", isLarge: false },
  { file: "further/nihc-valve.toml", isLarge: false },
  { file: "further-grown/nihc-valve-grown.toml", isLarge: false },
  { file: "large/valmis-tilasto-large.toml", isLarge: true },
];

const [bench, folder, ...options] = process.argv.slice(2);
if (!bench || !folder) {
  console.error("usage: regression.js BENCH SITES_FOLDER [--jobs N]");
  process.exit(2);
}

const rows = SITES.map(scoreSite);
console.log(["deployment", "score", "gate"].join("\t"));
for (const row of rows) {
  console.log([row.file, row.score, row.gate].join("\t"));
}
process.exitCode = rows.every(({ gate }) => gate === "passed") ? 0 : 1;

function scoreSite({ file, isLarge }) {
  const args = ["score", join(folder, file), "--why", "regression run"];
  const jobs = isLarge ? ["--jobs", "1"] : options;
  const { stdout } = spawnSync(bench, [...args, ...jobs], { encoding: "utf8" });
  return {
    file,
    score: /^score on .*: (-?[\d.]+)/m.exec(stdout)?.[1] ?? "not scored",
    gate: /^GATE (.*)$/m.exec(stdout)?.[1] ?? "not known",
  };
}
