import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/*/src/**/*_test.ts"],
    pool: "forks",
    testTimeout: 180_000,
    hookTimeout: 180_000,
  },
});
