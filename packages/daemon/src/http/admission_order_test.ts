import { EventEmitter } from "node:events";
import { SILENT_OBSERVER } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { Admission } from "./admission.ts";
import type { PacedConnection } from "./paced_connection.ts";

const REQUESTS = 100;

function createConnection(): PacedConnection {
  const connection = new EventEmitter();
  const fields = { remoteAddress: "127.0.0.1", halfClosedAtMs: null };
  return Object.assign(connection, fields) as unknown as PacedConnection;
}

// Guards against requests that take the places of others which came a moment earlier.
test("Requests of connections that have asked for as much are begun in their order", async () => {
  const admission = new Admission({ observer: SILENT_OBSERVER });
  const begun: number[] = [];
  for (let number = 0; number < REQUESTS; number += 1) {
    admission.receive({
      connection: createConnection(),
      timeoutMs: () => null,
      describe: () => ({}),
      begin: () => begun.push(number),
      refuse: () => {},
    });
  }
  await expect.poll(() => begun.length).toBe(REQUESTS);
  expect(begun).toEqual(begun.toSorted((one, other) => one - other));
});
