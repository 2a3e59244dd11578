/** What the tool prints: JSON, or tables for people. */
import process from "node:process";
import { styleText } from "node:util";
import { flag } from "cmd-ts";

/** The option of commands that read. */
export const outputArgs = {
  json: flag({ long: "json", description: "Prints JSON instead of a table" }),
};

/** One column of a table. */
export interface Column<Row> {
  readonly title: string;
  readonly value: (row: Row) => string | number;
}

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Prints one line. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints rows as JSON or as a table. */
export function printRows<Row>(
  rows: readonly Row[],
  options: { json: boolean; columns: readonly Column<Row>[] },
): void {
  if (options.json) return printJson(rows);
  if (rows.length === 0) return printLine("None");
  for (const line of formatTable(rows, options.columns)) printLine(line);
}

/** Prints one object as JSON or as a line for each field. */
export function printFields(
  fields: Readonly<Record<string, unknown>>,
  options: { json: boolean },
): void {
  if (options.json) return printJson(fields);
  const width = Math.max(...Object.keys(fields).map((name) => name.length));
  for (const [name, value] of Object.entries(fields)) {
    printLine(`${name.padEnd(width)}  ${formatValue(value)}`);
  }
}

/** Lays rows out in columns, with a line of titles. */
export function formatTable<Row>(
  rows: readonly Row[],
  columns: readonly Column<Row>[],
): string[] {
  const cells = rows.map((row) =>
    columns.map((column) => String(column.value(row)))
  );
  const titles = columns.map((column) => column.title);
  const widths = titles.map((title, at) =>
    Math.max(title.length, ...cells.map((line) => line[at]!.length))
  );
  const layOut = (line: readonly string[]) =>
    line.map((cell, at) => cell.padEnd(widths[at]!)).join("  ").trimEnd();
  return [emphasize(layOut(titles)), ...cells.map(layOut)];
}

/** Makes text bold where a person reads it on a terminal. */
export function emphasize(text: string): string {
  const colours = process.stdout.isTTY && !process.env.NO_COLOR;
  return colours ? styleText("bold", text) : text;
}

function formatValue(value: unknown): string {
  if (value === null || value === undefined) return "-";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}
