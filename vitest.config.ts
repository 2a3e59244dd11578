import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
    pool: "forks",
    testTimeout: 180_000,
    hookTimeout: 180_000,
    // Polls wait for what sockets do, which takes longer on a busy machine.
    expect: { poll: { timeout: 20_000, interval: 20 } },
  },
});
