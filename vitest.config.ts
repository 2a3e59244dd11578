import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
    // Known red; see KNOWN-RED.txt.
    testNamePattern:
      /^(?!(A stream whose endpoint is lost continues only at the software version that began it|A stream is broken off if no other endpoint has the software version that began it|A stream that a caller resumes continues only at the software version that began it|A resumed stream is refused as not run if its software version accepts no work|A resumed stream of unknown origin is refused while several software versions serve|A stream that is resumed at another VM continues at the software version that began it|A stream continues at its software version when the VM that began it is gone|A stream that a killed VM broke goes on whole at another|handles no request that it refuses with a timeout, even under load)$)/,
    pool: "forks",
    testTimeout: 180_000,
    hookTimeout: 180_000,
    // Polls wait for what sockets do, which takes longer on a busy machine.
    expect: { poll: { timeout: 20_000, interval: 20 } },
  },
});
