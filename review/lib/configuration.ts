/** The operator's configuration of the cases, with the figures of the small deployments. */

/** Service of plain HTTP requests. */
export const PLAIN = "kirjaamo";
/** Service of inference engines. */
export const ENGINES = "tiivistaja";

/** Builds a configuration in the operator's format; further routes may be added. */
export function createConfiguration(version: number) {
  const host = "office.example";
  const plain = {
    host,
    timeout_ms: 1_500,
    target_latency_ms: 193,
    priority: 2,
    service: PLAIN,
  };
  return {
    version,
    routes: [
      {
        ...plain,
        name: "safe",
        prefix: "/safe/",
        kind: "safe",
        max_attempts: 2,
      },
      {
        ...plain,
        name: "unsafe",
        prefix: "/unsafe/",
        kind: "unsafe",
        max_attempts: 1,
      },
      {
        host,
        name: "stream",
        prefix: "/stream/",
        kind: "streaming",
        service: ENGINES,
        timeout_ms: 14_000,
        target_latency_ms: 900,
        priority: 1,
        max_attempts: 2,
        resumable: true,
        affinity: true,
        gap_aim_ms: 300,
      },
    ] as { [field: string]: string | number | boolean }[],
    services: [
      { name: PLAIN, health_path: "/health", max_conns: 100 },
      {
        name: ENGINES,
        health_path: "/health",
        max_conns: 200,
        engine: {
          slots: 24,
          kv_tokens: 33_466,
          token_kv_bytes: 163_840,
          link_mbps: 1_400_000,
          stride: 11,
          kv_ttl_s: 0.5,
          reconfig_s: 6,
          hold_ms: 2_000,
          models: [{ name: "m" }],
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
