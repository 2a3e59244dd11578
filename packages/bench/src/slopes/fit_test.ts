import { expect, test } from "vitest";
import { fitLine, valueAt } from "./fit.ts";

test("A line is found again from its points", () => {
  const points = [1, 2, 4, 8].map((size) => ({ size, value: 7 + 3 * size }));
  const fit = fitLine(points);
  expect(fit.slope).toBeCloseTo(3);
  expect(fit.intercept).toBeCloseTo(7);
  expect(fit.rSquared).toBeCloseTo(1);
  expect(fit.residual).toBeCloseTo(0);
  expect(valueAt(fit, 100)).toBeCloseTo(307);
});

test("The error of a fit grows with the distance of points from the line", () => {
  const values = [10, 14, 18, 30];
  const points = values.map((value, at) => ({ size: at + 1, value }));
  const fit = fitLine(points);
  expect(fit.slope).toBeCloseTo(6.4);
  expect(fit.rSquared).toBeCloseTo(204.8 / 224, 6);
  expect(fit.residual).toBeCloseTo(Math.sqrt(19.2 / 4), 6);
});

test("A quantity that does not grow has a slope of zero and is wholly explained", () => {
  const points = [1, 2, 3, 4].map((size) => ({ size, value: 5 }));
  expect(fitLine(points)).toMatchObject({
    slope: 0,
    intercept: 5,
    rSquared: 1,
  });
});

test("Fewer than four sizes are refused", () => {
  const points = [1, 1, 2, 3].map((size) => ({ size, value: size }));
  expect(() => fitLine(points)).toThrow("4 sizes");
});
