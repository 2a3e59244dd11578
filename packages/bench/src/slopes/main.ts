/** `npm run slopes -- [--json] [--only NAME] [--figures] [--from FILE]` */
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
  description: "Measures how state, time and bytes grow with size",
  args: {
    json: flag({ long: "json", description: "Writes JSON" }),
    only: option({
      long: "only",
      type: optional(string),
      description: "Names that start so, several with commas",
    }),
    figures: flag({
      long: "figures",
      description: "Writes the figures of each role at the planned size",
    }),
    from: option({
      long: "from",
      type: optional(string),
      description: "Takes slopes from a file that --json wrote",
    }),
    here: flag({
      long: "here",
      description: "Measures in this process; used by the program itself",
    }),
  },
  async handler({ json, only, figures, from, here }) {
    if (here) {
      const quantity = QUANTITIES.find((one) => one.name === only);
      if (!quantity) throw new Error(`No quantity ${only}`);
      printLine(JSON.stringify(await measureInProcess(quantity)));
      // Timers of the VMs that were measured would keep the process.
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
  const starts = only.split(",");
  const chosen = QUANTITIES.filter(({ name }) =>
    starts.some((start) => name.startsWith(start))
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
    printLine(figuresTable(figures.filter((one) => one.role === role)));
  }
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
