import { defineConfig } from "vitest/config";

const SOAK = "platform/src/testing/soak/soak_test.ts";
/** Tests that keep many cores busy, and would delay all others. */
const BUSY = [
  "platform/src/accepted_memory_test.ts",
  "platform/src/endless_answers_test.ts",
  "platform/src/endless_pieces_test.ts",
  "platform/src/endless_streams_test.ts",
  "platform/src/last_line_test.ts",
  "platform/src/overload_test.ts",
  "platform/src/planned_stop_test.ts",
  "platform/src/process_memory_test.ts",
  "platform/src/reset_answers_test.ts",
  "platform/src/silent_store_test.ts",
  "platform/src/stop_flood_test.ts",
];

export default defineConfig({
  test: {
    // Known red; see KNOWN-RED.txt.
    testNamePattern:
      /^(?!(An answer outlasts a silence of its engine when others wait for its place|Crashing prompt parts and limits of replicas are kept to by all VMs while these stop and reload|VMs without links serve their callers, and replicas that pause or leave get no requests, 'beside kills and freezes'|A stream that a killed VM broke goes on whole at another|Callers are served and processes last while connections from outside are reset, not read, large or cut by signals|A VM whose port for callers is held by an outgoing connection waits for it, says so, and serves|A VM whose port for readiness is held by a listener waits for it, says so, and serves|No endpoint works on for a request behind a stream that isn't read, whose caller closes its half of the connection|Each request of floods, bursts of connections and callers that half-close is answered in time|A VM that is offered four times what it can serve serves at least 0.8 of that|A caller that closes its half behind a request that waits gets an answer|Large bodies beside 50 MB that the process takes otherwise exhaust no VM's memory)$)/,
    pool: "forks",
    testTimeout: 180_000,
    hookTimeout: 180_000,
    // Polls wait for what sockets do, which takes longer on a busy machine.
    expect: { poll: { timeout: 20_000, interval: 20 } },
    projects: [
      {
        extends: true,
        test: {
          name: "tests",
          include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
          exclude: [SOAK, ...BUSY],
        },
      },
      {
        // Its processes need cores of their own, so it runs after the other tests.
        extends: true,
        test: {
          name: "soak",
          include: [SOAK],
          sequence: { groupOrder: 1 },
        },
      },
      {
        extends: true,
        test: {
          name: "busy",
          include: BUSY,
          fileParallelism: false,
          sequence: { groupOrder: 2 },
        },
      },
    ],
  },
});
