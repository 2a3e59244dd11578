/** A plain service that records each run of each call. */
import type { ServiceAnswer, ServiceRequest } from "@teaselvalve/core";

/** Options of {@link PlainService}. */
export interface PlainServiceOptions {
  /** How long a call takes. Defaults to 20 ms. */
  durationMs?: number;
}

/** A recorded run of a call. */
export interface ServiceRun extends ServiceRequest {
  /** Start time, by the clock of `Date.now`. */
  readonly ranAtMs: number;
}

/** Runs every call that arrives; it does not detect repeats. */
export class PlainService {
  readonly runs: ServiceRun[] = [];
  /** How long a call takes. */
  durationMs: number;

  constructor(options: PlainServiceOptions = {}) {
    this.durationMs = options.durationMs ?? 20;
  }

  /** Returns the number of runs with the idempotency key `key`. */
  countRuns(key: string): number {
    return this.runs.filter((run) => run.key === key).length;
  }

  /** Runs a call: it takes effect at once, and the answer follows after `durationMs`. */
  call(request: ServiceRequest): Promise<ServiceAnswer> {
    this.runs.push({ ...request, ranAtMs: Date.now() });
    const number = this.runs.length;
    return new Promise((resolve) =>
      setTimeout(
        () =>
          resolve({
            status: 201,
            contentType: "application/json",
            body: JSON.stringify({ registered: request.key, number }),
          }),
        this.durationMs,
      )
    );
  }
}
