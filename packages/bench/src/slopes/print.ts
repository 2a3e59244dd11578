/** Formats slopes and capacity figures as Markdown tables. */
import type { Figure } from "./roles/mod.ts";
import type { Slope } from "./types.ts";

/** Formats slopes as a Markdown table. */
export function slopesTable(slopes: readonly Slope[]): string {
  return table(
    ["quantity", "per", "slope", "intercept", "R²", "residual", "sizes"],
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

/** Formats capacity figures as a Markdown table. */
export function figuresTable(figures: readonly Figure[]): string {
  return table(
    ["figure", "formula", "value", "budget", "within budget"],
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

/**
 * Describes whether a figure is within its budget, or by what factor it exceeds
 * it; empty without a budget.
 */
export function verdictOf(
  { value, budget }: Pick<Figure, "value" | "budget">,
): string {
  if (budget === null) return "";
  if (value <= budget) return "yes";
  return `**no, ${formatNumber(value / budget)} times**`;
}

/** Formats a number with three significant digits and at most four decimals. */
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
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
  const rule = headings.map(() => "---");
  return [line(headings), line(rule), ...rows.map(line)].join("\n");
}

function unitName(unit: Slope["unit"]): string {
  return unit === "us" ? "µs" : "bytes";
}
