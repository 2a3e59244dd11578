import { connect } from "node:tls";
import { SILENT_OBSERVER } from "@teaselvalve/core";
import { generate } from "selfsigned";
import { afterEach, beforeAll, expect, test } from "vitest";
import type { TlsFiles } from "../settings/load.ts";
import { SettingsSchema } from "../settings/schema.ts";
import { deferred } from "../testing/deferred.ts";
import { freePort } from "../testing/ports.ts";
import { createFreshCaller, createKeepAliveCaller } from "./calls.ts";
import { sendJson } from "./exchange.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";

const HOST = "127.0.0.1";

let own: TlsFiles;
let strange: TlsFiles;
let part: HttpComponent;
let address: string;
const started = deferred();
const finish = deferred();

beforeAll(async () => {
  [own, strange] = await Promise.all([issue(), issue()]);
});

afterEach(async () => {
  await part.stop();
});

/** Makes a certificate for loopback that is its own authority. */
async function issue(): Promise<TlsFiles> {
  const pems = await generate([{ name: "commonName", value: HOST }], {
    extensions: [
      { name: "basicConstraints", cA: true },
      { name: "subjectAltName", altNames: [{ type: 7, ip: HOST }] },
    ],
  });
  return {
    certificate: pems.cert,
    key: pems.private,
    authorities: pems.cert,
    requireClientCertificate: true,
  };
}

async function serve(tls: TlsFiles): Promise<void> {
  address = `${HOST}:${await freePort()}`;
  part = createHttpComponent({
    name: "peers",
    address,
    async handle({ response, url }) {
      if (url.pathname === "/slow") {
        started.resolve();
        await finish.promise;
      }
      sendJson(response, "secret");
    },
    limits: SettingsSchema.shape.limits.parse({}),
    observer: SILENT_OBSERVER,
    requestLogLevel: "debug",
    tls,
  });
  await part.start();
}

const CALLERS = [createFreshCaller, createKeepAliveCaller] as const;

const get = (path = "/") => ({
  method: "GET",
  address,
  path,
  timeoutMs: 5_000,
});

test.each(CALLERS)(
  "%o is served when each side knows the other",
  async (create) => {
    await serve(own);
    const caller = create({ tls: own });
    const answer = await caller.call(get());
    expect(answer._unsafeUnwrap().text).toBe('"secret"');
    await caller.close();
  },
);

test.each(CALLERS)(
  "%o is refused with a strange certificate",
  async (create) => {
    await serve(own);
    const caller = create({
      tls: { ...strange, authorities: own.authorities },
    });
    expect((await caller.call(get())).isErr()).toBe(true);
    await caller.close();
  },
);

test.each(CALLERS)("%o does not speak to a strange server", async (create) => {
  await serve(strange);
  const caller = create({ tls: own });
  expect((await caller.call(get())).isErr()).toBe(true);
  await caller.close();
});

test("a plain connection and one without a certificate get nothing", async () => {
  await serve(own);
  const plain = createFreshCaller();
  expect((await plain.call(get())).isErr()).toBe(true);
  const port = Number(address.split(":")[1]);
  const socket = connect({ host: HOST, port, ca: own.authorities });
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => {});
  socket.write("GET / HTTP/1.1\r\nHost: vm\r\n\r\n");
  await new Promise((resolve) => socket.once("close", resolve));
  expect(text).toBe("");
});

test("a stop under TLS finishes what is under way", async () => {
  await serve(own);
  const caller = createFreshCaller({ tls: own });
  const answer = caller.call(get("/slow"));
  await started.promise;
  const stopped = part.stop();
  setTimeout(finish.resolve, 700);
  expect((await answer)._unsafeUnwrap().text).toBe('"secret"');
  await stopped;
});
