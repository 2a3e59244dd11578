import { once } from "node:events";
import { connect } from "node:net";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { Admission } from "./admission.ts";
import { sendText } from "./exchange.ts";
import { createHttpComponent } from "./server.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: vm\r\n\r\n";

test.each([0, 30, 1_500])(
  "Requests of a connection that was refused at its opening are served %i ms later, when the VM is free",
  async (delayMs) => {
    const port = await freePort();
    const gate = new Admission({ observer: SILENT_OBSERVER });
    let asked = 0;
    gate.refusesNew = () => {
      asked += 1;
      return asked === 1;
    };
    const component = createHttpComponent({
      name: "callers",
      address: `127.0.0.1:${port}`,
      limits: SettingsSchema.shape.limits.parse({}),
      observer: SILENT_OBSERVER,
      requestLogLevel: "info",
      admission: {
        gate,
        timeoutMs: () => 3_000,
        describe: () => ({}),
        formatRetryAfter: String,
      },
      handle: ({ response }) => sendText(response, "served", "text/plain"),
    });
    await component.start();
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    await wait(delayMs);
    for (const request of [REQUEST, REQUEST]) {
      const answered = once(socket, "data");
      socket.write(request);
      expect(String((await answered)[0])).toMatch(/^HTTP\/1\.1 200/);
    }
    expect(asked).toBeGreaterThan(1);
    socket.destroy();
    component.abort?.();
    await component.stop();
  },
);
