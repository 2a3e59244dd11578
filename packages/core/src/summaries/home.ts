/** The home of request keys: knows which VM runs a summary. */
import type { RequestKey } from "../common/ids.ts";
import type { RegisterAnswer } from "./app.ts";
import type { Registration } from "./types.ts";

/** How long an answered key is known; engines keep the text as long. */
export const ANSWERED_RETENTION_MS = 30_000;
/** How long a running key is known without news of it. */
const RUNNING_KEPT_MS = 600_000;
const EXPIRY_INTERVAL_MS = 5_000;

/** Options of {@link SummariesHome}. */
export interface SummariesHomeOptions {
  /** Told of an owner whose running summary another owner has taken over. */
  onReplaced: (older: Registration, newer: Registration) => void;
}

interface Held {
  readonly registration: Registration;
  readonly expiresAtMs: number;
}

/** Owns the registrations of the keys that this VM is home for. */
export class SummariesHome {
  #held = new Map<RequestKey, Held>();
  #options: SummariesHomeOptions;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: SummariesHomeOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#expire(), EXPIRY_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Registers a key, or shows who has it. */
  register(
    params: { registration: Registration; takeOver: boolean },
  ): RegisterAnswer {
    const { registration, takeOver } = params;
    const held = this.#find(registration.key);
    if (held && !replaces(held, { registration, takeOver })) {
      return { kind: "exists", registration: held };
    }
    if (registration.state === "cancelled") {
      this.#held.delete(registration.key);
    } else this.#keep(registration);
    const { onReplaced } = this.#options;
    const changed = held?.state === "running" &&
      held.owner.incarnation !== registration.owner.incarnation;
    if (changed) onReplaced(held, registration);
    return { kind: "new" };
  }

  /** Shows what is known of a key. */
  find(key: RequestKey): Registration | null {
    return this.#find(key) ?? null;
  }

  #find(key: RequestKey): Registration | undefined {
    const held = this.#held.get(key);
    return held && held.expiresAtMs > performance.now()
      ? held.registration
      : undefined;
  }

  #keep(registration: Registration): void {
    const keptMs = registration.state === "answered"
      ? ANSWERED_RETENTION_MS
      : RUNNING_KEPT_MS;
    this.#held.set(registration.key, {
      registration,
      expiresAtMs: performance.now() + keptMs,
    });
  }

  #expire(): void {
    const nowMs = performance.now();
    for (const [key, held] of this.#held) {
      if (held.expiresAtMs <= nowMs) this.#held.delete(key);
    }
  }
}

function replaces(
  held: Registration,
  params: { registration: Registration; takeOver: boolean },
): boolean {
  const { registration, takeOver } = params;
  // Homes that differed for a while may have let two bodies run under one key.
  if (held.bodyDigest !== registration.bodyDigest) return false;
  const sameOwner = held.owner.incarnation === registration.owner.incarnation;
  if (takeOver && registration.epoch > held.epoch) return true;
  return sameOwner && registration.epoch >= held.epoch &&
    (takeOver || held.state !== "answered");
}
