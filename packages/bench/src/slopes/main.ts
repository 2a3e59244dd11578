/**
 * `npm run slopes -- [--json] [--only NAME] [--figures] [--from FILE]`: measures
 * how state, processor time and bytes grow with the deployment's size.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { command, flag, option, optional, run, string } from "cmd-ts";
import { figuresTable, slopesTable } from "./print.ts";
import { QUANTITIES } from "./quantities/mod.ts";
import { capacityFigures, ROLES } from "./roles/mod.ts";
import { measureInChildProcess, measureInProcess } from "./run.ts";
import type { Quantity, Slope } from "./types.ts";

const program = command({
  name: "slopes",
  description:
    "Measures how state, processor time and bytes grow with the deployment's size",
  args: {
    json: flag({ long: "json", description: "Prints the slopes as JSON" }),
    only: option({
      long: "only",
      type: optional(string),
      description:
        "Measures only quantities whose names have one of these prefixes, separated by commas",
    }),
    figures: flag({
      long: "figures",
      description:
        "Prints the capacity figures of each role at the target size",
    }),
    from: option({
      long: "from",
      type: optional(string),
      description:
        "Reads the slopes from a file that --json wrote instead of measuring",
    }),
    here: flag({
      long: "here",
      description: "Measures one quantity in this process; for internal use",
    }),
  },
  async handler({ json, only, figures, from, here }) {
    if (here) {
      const quantity = QUANTITIES.find((candidate) => candidate.name === only);
      if (!quantity) throw new Error(`No quantity is named ${only}`);
      printLine(JSON.stringify(await measureInProcess(quantity)));
      // Timers of the measured VMs would keep the process running.
      process.exit(0);
    }
    const slopes = from
      ? readSlopes(from)
      : await measureAll(selectQuantities(only));
    if (json) return printLine(JSON.stringify(slopes, null, 2));
    printLine(slopesTable(slopes));
    if (figures) printFigures(slopes);
  },
});

await run(program, process.argv.slice(2));

function selectQuantities(only: string | undefined): readonly Quantity[] {
  if (!only) return QUANTITIES;
  const prefixes = only.split(",");
  const chosen = QUANTITIES.filter(({ name }) =>
    prefixes.some((prefix) => name.startsWith(prefix))
  );
  if (chosen.length === 0) throw new Error(`No quantity starts with ${only}`);
  return chosen;
}

async function measureAll(
  quantities: readonly Quantity[],
): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const quantity of quantities) {
    try {
      slopes.push(await measureInChildProcess(quantity));
    } catch (error) {
      process.exitCode = 1;
      process.stderr.write(`${quantity.name}: ${String(error)}\n`);
    }
  }
  return slopes;
}

function readSlopes(file: string): readonly Slope[] {
  return JSON.parse(readFileSync(file, "utf8")) as Slope[];
}

function printFigures(slopes: readonly Slope[]): void {
  const figures = capacityFigures(slopes);
  for (const role of ROLES) {
    printLine(`\n### ${role}\n`);
    printLine(figuresTable(figures.filter((figure) => figure.role === role)));
  }
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
