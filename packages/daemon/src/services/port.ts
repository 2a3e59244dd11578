/** The service port over HTTP; every call takes a fresh connection. */
import type { ServicePort } from "@teaselvalve/core";
import { createFreshCaller } from "../http/calls.ts";

/** Connects to plain services. */
export function createServicePort(): ServicePort {
  const fresh = createFreshCaller();
  return {
    async call(endpoint, request, { timeoutMs }) {
      const hasBody = request.method !== "GET" && request.method !== "HEAD";
      const answer = await fresh.call({
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
      return answer.map(({ status, contentType, text }) => ({
        status,
        contentType,
        body: text,
      }));
    },
  };
}
