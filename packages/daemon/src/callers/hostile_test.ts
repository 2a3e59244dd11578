/** Sends malformed and malicious requests to all interfaces of a daemon. */
import { connect } from "node:net";
import fc from "fast-check";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  MODEL,
  PEER_SECRET,
  SERVICE,
  startTestDeployment,
  type TestDeployment,
  TOKENS,
} from "../testing/deployment.ts";

const SEED = 20_261_203;
const RUNS = 300;
const LIMITS = { headersMs: "200", requestMs: "300", bodyBytes: "4096" };

let deployment: TestDeployment;

beforeAll(async () => {
  deployment = await startTestDeployment({ limits: LIMITS });
});

afterAll(() => deployment.close());

/** Sends bytes and returns the response, read until the connection closes. */
function exchange(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host: host!, port: Number(port) });
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", () => {});
    socket.once("close", () => resolve(text));
    socket.write(bytes, "latin1");
  });
}

const paths = fc.constantFrom(
  "/",
  "//",
  "/%",
  "/v1/completions",
  "/v1/chat/completions",
  `/v1/services/${SERVICE}/x`,
  "/v1/services/",
  "/v1/services/absent",
  "/v1/addresses?data_centre=%00",
  "/admin/manifests",
  "/admin/calls/%E0%A4%A",
  "/admin/summaries/x/cancel",
  "http://[",
);
const methods = fc.constantFrom(
  "GET",
  "POST",
  "DELETE",
  "HEAD",
  "CONNECT",
  "x",
);
const tokens = fc.constantFrom(
  TOKENS.lender,
  TOKENS.first,
  PEER_SECRET,
  "wrong",
);
const headers = fc.array(
  fc.oneof(
    fc.constantFrom(
      "Idempotency-Key: k",
      "Idempotency-Key: \xff\xfe",
      "Last-Event-ID: -1",
      "Request-Timeout-Ms: NaN",
      "Request-Timeout-Ms: 1e99",
      "Content-Length: 5",
      "Transfer-Encoding: chunked",
      "Upgrade: websocket",
      "Expect: 100-continue",
      "Content-Type: \x00",
    ),
    fc.string({ maxLength: 30 }).map((text) => `X-Any: ${text}`),
  ),
  { maxLength: 5 },
);
const bodies = fc.oneof(
  fc.string(),
  fc.json(),
  fc.constantFrom(
    "null",
    "[]",
    "{}",
    `{"model":"${MODEL}","prompt":""}`,
    `{"model":"${MODEL}","messages":[{}]}`,
    `{"model":"${MODEL}","prompt":"x","max_tokens":1e9}`,
    `{"__proto__":{"stream":true},"model":"${MODEL}"}`,
    '{"jsonrpc":"2.0","id":1,"method":"grants/request","params":null}',
    '{"jsonrpc":"2.0","id":1,"method":"constructor","params":{}}',
    '{"jsonrpc":"2.0","id":1,"method":"summaries/register","params":{}}',
    "[".repeat(4_000),
    "x".repeat(10_000),
  ),
);
const requests = fc.record({ methods, paths, tokens, headers, bodies });

test.each(["callers", "admin", "peers"] as const)(
  "the %s interface survives malformed requests and answers each with an HTTP status",
  async (name) => {
    const address = deployment[name];
    const statuses = new Set<string>();
    await fc.assert(
      fc.asyncProperty(requests, async (sample) => {
        const head = [
          `${sample.methods} ${sample.paths} HTTP/1.1`,
          "Host: vm",
          "Connection: close",
          `Authorization: Bearer ${sample.tokens}`,
          ...sample.headers,
        ].join("\r\n");
        const text = await exchange(address, `${head}\r\n\r\n${sample.bodies}`);
        const status = /^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1];
        expect(status).toBeDefined();
        statuses.add(status!);
        const live = await fetch(`http://${deployment.callers}/health/live`);
        expect(live.status).toBe(200);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(statuses.size).toBeGreaterThan(3);
    const failed = deployment.log.filter((line) =>
      line.event === "request-error"
    );
    expect(failed).toEqual([]);
  },
);
