/** Prints results as JSON or as tables. */
import process from "node:process";
import { styleText } from "node:util";
import { flag } from "cmd-ts";

/** Output options of the commands. */
export const outputArgs = {
  json: flag({ long: "json", description: "Prints JSON instead of a table" }),
};

/** One column of a table. */
export interface Column<Row> {
  readonly title: string;
  readonly value: (row: Row) => string | number;
}

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Writes a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints rows as a JSON array or as a table. */
export function printRows<Row>(
  rows: readonly Row[],
  options: { json: boolean; columns: readonly Column<Row>[] },
): void {
  if (options.json) return printJson(rows);
  if (rows.length === 0) return printLine("None");
  for (const line of formatTable(rows, options.columns)) printLine(line);
}

/** Prints an object as JSON or as one line for each field. */
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

/** Formats rows as aligned lines below a line of column titles. */
export function formatTable<Row>(
  rows: readonly Row[],
  columns: readonly Column<Row>[],
): string[] {
  const cells = rows.map((row) =>
    columns.map((column) => String(column.value(row)))
  );
  const titles = columns.map((column) => column.title);
  const widths = titles.map((title, index) =>
    Math.max(title.length, ...cells.map((line) => line[index]!.length))
  );
  const formatLine = (line: readonly string[]) =>
    line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd();
  return [emphasize(formatLine(titles)), ...cells.map(formatLine)];
}

/** Makes text bold if standard output is a terminal and `NO_COLOR` is not set. */
export function emphasize(text: string): string {
  const supportsColour = process.stdout.isTTY && !process.env.NO_COLOR;
  return supportsColour ? styleText("bold", text) : text;
}

function formatValue(value: unknown): string {
  if (value === null || value === undefined) return "-";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}
