import { expect, test } from "vitest";
import { fitLine, valueAt } from "./fit.ts";

test("A fit recovers the line that its points lie on", () => {
  const points = [1, 2, 4, 8].map((size) => ({ size, value: 7 + 3 * size }));
  const fit = fitLine(points);
  expect(fit.slope).toBeCloseTo(3);
  expect(fit.intercept).toBeCloseTo(7);
  expect(fit.rSquared).toBeCloseTo(1);
  expect(fit.residual).toBeCloseTo(0);
  expect(valueAt(fit, 100)).toBeCloseTo(307);
});

test("The residual and R² of a fit reflect the distance of its points from the line", () => {
  const values = [10, 14, 18, 30];
  const points = values.map((value, index) => ({ size: index + 1, value }));
  const fit = fitLine(points);
  expect(fit.slope).toBeCloseTo(6.4);
  expect(fit.rSquared).toBeCloseTo(204.8 / 224, 6);
  expect(fit.residual).toBeCloseTo(Math.sqrt(19.2 / 4), 6);
});

test("Constant values give a slope of 0 and an R² of 1", () => {
  const points = [1, 2, 3, 4].map((size) => ({ size, value: 5 }));
  expect(fitLine(points)).toMatchObject({
    slope: 0,
    intercept: 5,
    rSquared: 1,
  });
});

test("A fit of fewer than four different sizes throws", () => {
  const points = [1, 1, 2, 3].map((size) => ({ size, value: size }));
  expect(() => fitLine(points)).toThrow("4 sizes");
});
