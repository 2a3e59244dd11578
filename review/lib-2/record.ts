/** Writes what a case did and saw, and ends it with its result. */
import { writeFileSync } from "node:fs";
import process from "node:process";

/** Whether the disruption is left out. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Lines of `record.txt`, with the time since the start. */
export class CaseRecord {
  #lines: string[] = [];
  #path: string;
  #startMs = performance.now();

  constructor(folder: string) {
    this.#path = `${folder}/record.txt`;
    this.note(HAS_TROUBLE ? "with the disruption" : "without the disruption");
  }

  /** Adds a line, as of now or of a time of `performance.now()`. */
  note(text: string, atMs = performance.now()): void {
    this.#lines.push(`${((atMs - this.#startMs) / 1_000).toFixed(3)} ${text}`);
  }

  save(): void {
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(
  folder: string,
  run: (record: CaseRecord) => Promise<{ broken: boolean; verdict: string }>,
): Promise<never> {
  const record = new CaseRecord(folder);
  let code = 2;
  try {
    const { broken, verdict } = await run(record);
    code = broken ? 1 : 0;
    record.note(`${broken ? "BROKEN" : "HELD"}: ${verdict}`);
    console.log(`${broken ? "BROKEN" : "HELD"}: ${verdict}`);
  } catch (error) {
    record.note(`COULD NOT RUN: ${error}`);
    console.log(
      `COULD NOT RUN: ${error instanceof Error ? error.stack : error}`,
    );
  }
  record.save();
  process.exit(code);
}
