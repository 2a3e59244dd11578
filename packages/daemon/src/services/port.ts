/** The service port over HTTP; every call opens a new connection. */
import type { Observer, ServicePort } from "@teaselvalve/core";
import { createFreshClient } from "../http/calls.ts";

/** Creates the port through which the VM calls plain services. */
export function createServicePort(
  options: { observer?: Observer } = {},
): ServicePort {
  const fresh = createFreshClient(options);
  return {
    async call(endpoint, request, { timeoutMs }) {
      const hasBody = request.method !== "GET" && request.method !== "HEAD";
      const response = await fresh.call({
        method: request.method,
        address: endpoint.address,
        path: request.path,
        headers: {
          ...(request.contentType
            ? { "content-type": request.contentType }
            : {}),
          ...(request.key ? { "idempotency-key": request.key } : {}),
        },
        body: hasBody ? request.body : undefined,
        timeoutMs,
      });
      return response.map(({ status, contentType, text }) => ({
        status,
        contentType,
        body: text,
      }));
    },
  };
}
