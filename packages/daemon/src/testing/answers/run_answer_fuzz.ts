/** Runs a fuzz of a client against a server that answers by scripts. */
import process from "node:process";
import { PROCESS_MEMORY, wait } from "@teaselvalve/core";
import fc from "fast-check";
import { type AnswerServer, startAnswerServer } from "./answer_server.ts";

const DEFAULT_SEED = 56;
const DEFAULT_RUNS = 40;
/** Checks at a time, each with its own server; most of a run is spent waiting. */
const DEFAULT_CHECKS = 8;
/** Within which sockets and timers end, on a busy machine. */
const CLEANUP_MS = 2_000;

/** Runs one case against a server; returns what was wrong with it. */
export type AnswerCase<T> = (
  server: AnswerServer,
  drawn: T,
) => Promise<readonly string[]>;

/**
 * Runs `ANSWER_FUZZ_RUNS` cases in each of `ANSWER_FUZZ_CHECKS` (8) checks, with seeds
 * from `ANSWER_FUZZ_SEED` on. Throws with the first wrong case, its seed and path; also if
 * an exception reached the process, or a socket, a timer or memory stays. With several checks an
 * exception may be another's: repeat its seed in a single one, with `ANSWER_FUZZ_PATH`
 * only the case that was printed.
 */
export async function runAnswerFuzz<T>(
  drawn: fc.Arbitrary<T>,
  runCase: AnswerCase<T>,
): Promise<void> {
  const {
    ANSWER_FUZZ_SEED = DEFAULT_SEED,
    ANSWER_FUZZ_RUNS = DEFAULT_RUNS,
    ANSWER_FUZZ_CHECKS = DEFAULT_CHECKS,
    ANSWER_FUZZ_PATH: path,
  } = process.env;
  const escaped: unknown[] = [];
  const onEscaped = (error: unknown) => void escaped.push(error);
  process.on("uncaughtException", onEscaped);
  process.on("unhandledRejection", onEscaped);
  const timersBefore = countTimers();
  const usedBytes = PROCESS_MEMORY.usedBytes();
  try {
    // The checks that go on after a failure would disturb the next test.
    const results = await Promise.allSettled(
      Array.from({ length: Number(ANSWER_FUZZ_CHECKS) }, async (_, index) => {
        const server = await startAnswerServer();
        try {
          await fc.assert(
            fc.asyncProperty(drawn, async (values) => {
              const heldBytes = PROCESS_MEMORY.usedBytes();
              const found = [...await runCase(server, values)];
              const isClosed = await becomes(() => server.openSockets() === 0);
              if (!isClosed) found.push("a socket stays open");
              // Other checks take memory meanwhile.
              const isAlone = Number(ANSWER_FUZZ_CHECKS) === 1;
              const isFreed = () => PROCESS_MEMORY.usedBytes() === heldBytes;
              if (isAlone && !await becomes(isFreed)) {
                found.push("memory isn't given back");
              }
              for (const error of escaped.splice(0)) {
                found.push(`reached the process: ${describe(error)}`);
              }
              if (found.length > 0) throw new Error(found.join("\n"));
            }),
            {
              seed: Number(ANSWER_FUZZ_SEED) + index,
              numRuns: Number(ANSWER_FUZZ_RUNS),
              ...(path === undefined ? {} : { path, endOnFailure: true }),
            },
          );
        } finally {
          await server.close();
        }
      }),
    );
    for (const result of results) {
      if (result.status === "rejected") throw result.reason;
    }
    if (!await becomes(() => countTimers() <= timersBefore)) {
      throw new Error("a timer stays");
    }
    if (!await becomes(() => PROCESS_MEMORY.usedBytes() === usedBytes)) {
      const heldBytes = PROCESS_MEMORY.usedBytes() - usedBytes;
      throw new Error(`${heldBytes} bytes aren't given back`);
    }
  } finally {
    process.off("uncaughtException", onEscaped);
    process.off("unhandledRejection", onEscaped);
  }
}

async function becomes(isTrue: () => boolean): Promise<boolean> {
  const endsAtMs = performance.now() + CLEANUP_MS;
  while (!isTrue()) {
    if (performance.now() > endsAtMs) return false;
    await wait(1);
  }
  return true;
}

function countTimers(): number {
  return process.getActiveResourcesInfo()
    .filter((resource) => resource === "Timeout" || resource === "Immediate")
    .length;
}

function describe(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}
