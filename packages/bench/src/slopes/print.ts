/** Writes slopes and capacity figures as tables. */
import type { Figure } from "./roles/mod.ts";
import type { Slope } from "./types.ts";

/** Writes slopes as a Markdown table. */
export function slopesTable(slopes: readonly Slope[]): string {
  return table(
    ["quantity", "for each", "slope", "at size 0", "R²", "residual", "sizes"],
    slopes.map((slope) => {
      const sizes = slope.points.map(({ size }) => size);
      return [
        `\`${slope.name}\``,
        slope.per,
        `${formatNumber(slope.slope)} ${unitName(slope.unit)}`,
        formatNumber(slope.intercept),
        slope.rSquared.toFixed(3),
        formatNumber(slope.residual),
        sizes.join(", "),
      ];
    }),
  );
}

/** Writes capacity figures as a Markdown table. */
export function figuresTable(figures: readonly Figure[]): string {
  return table(
    ["what", "formula", "figure", "budget", "holds"],
    figures.map((figure) => [
      figure.label,
      figure.formula,
      `${formatNumber(figure.value)} ${figure.unit}`,
      figure.budget === null
        ? "none"
        : `${formatNumber(figure.budget)} ${figure.unit}`,
      verdictOf(figure),
    ]),
  );
}

/** Says whether a figure holds its budget, and by what factor it does not. */
export function verdictOf(
  { value, budget }: Pick<Figure, "value" | "budget">,
): string {
  if (budget === null) return "";
  if (value <= budget) return "yes";
  return `**no, ${formatNumber(value / budget)} times**`;
}

/** Writes a number with three significant digits. */
export function formatNumber(value: number): string {
  if (value === 0) return "0";
  const magnitude = Math.floor(Math.log10(Math.abs(value)));
  const decimals = Math.max(0, Math.min(4, 2 - magnitude));
  const rounded = magnitude > 2
    ? Math.round(value / 10 ** (magnitude - 2)) * 10 ** (magnitude - 2)
    : value;
  return rounded.toLocaleString("en-GB", {
    minimumFractionDigits: 0,
    maximumFractionDigits: decimals,
  });
}

function table(
  heads: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
  const rule = heads.map(() => "---");
  return [line(heads), line(rule), ...rows.map(line)].join("\n");
}

function unitName(unit: Slope["unit"]): string {
  return unit === "us" ? "µs" : "bytes";
}
