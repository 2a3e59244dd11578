/** A caller that requests VM addresses, caches the answer for its time to live, and sends to those addresses. */
import {
  type AddressAnswer,
  asId,
  type CallRequest,
  listAddresses,
  type SummaryRequest,
} from "@teaselvalve/core";
import { expectedAnswer } from "@teaselvalve/fakes";
import type { CallerCall, CallerSummary } from "./caller.ts";
import { MODEL, SERVICE, type World } from "./world.ts";

const DEADLINE_MS = 30_000;

interface CachedAnswer {
  readonly answer: AddressAnswer;
  readonly fetchedAtMs: number;
}

/** One request that the caller sent, and the connection that it used. */
export interface AddressedRequest {
  readonly vm: string;
  /** On the monotonic clock. */
  readonly sentAtMs: number;
  readonly connection: CallerCall | CallerSummary;
  /** Expected length of a summary's answer; 0 for a filing. */
  readonly tokens: number;
}

/** Options of {@link AddressCaller}. */
export interface AddressCallerOptions {
  name: string;
  /** Returns a number from 0 up to, but not including, 1. */
  random: () => number;
}

/** Sends requests as a caller without a load balancer does. */
export class AddressCaller {
  readonly requests: AddressedRequest[] = [];
  #world: World;
  #options: AddressCallerOptions;
  #cached: CachedAnswer | undefined;
  #sent = 0;

  constructor(world: World, options: AddressCallerOptions) {
    this.#world = world;
    this.#options = options;
  }

  /** Sends a request for a summary of the given length; null if no VM address is available. */
  sendSummary(tokens: number): AddressedRequest | null {
    const vm = this.#chooseVm();
    return vm ? this.sendSummaryTo(vm, tokens) : null;
  }

  /** Sends a request for a summary of the given length to a given VM. */
  sendSummaryTo(vm: string, tokens: number): AddressedRequest {
    const request: SummaryRequest = {
      ...this.#commonFields("summary"),
      model: asId(MODEL),
      prompt: `Summarise ${this.#sent} [length=${tokens}]`,
      maxTokens: tokens,
      fromOffset: 0,
    };
    return this.#record({
      vm,
      sentAtMs: performance.now(),
      connection: this.#world.sendSummary(vm, request),
      tokens,
    });
  }

  /** Sends a filing; null if no VM address is available. */
  sendCall(): AddressedRequest | null {
    const vm = this.#chooseVm();
    if (!vm) return null;
    const request: CallRequest = {
      ...this.#commonFields("filing"),
      service: asId(SERVICE),
      method: "POST",
      path: "/filings",
      contentType: "application/json",
      body: "{}",
    };
    return this.#record({
      vm,
      sentAtMs: performance.now(),
      connection: this.#world.sendCall(vm, request),
      tokens: 0,
    });
  }

  /** Picks a VM from the cached answer, which is fetched again if it has expired or is empty. */
  #chooseVm(): string | null {
    const nowMs = performance.now();
    const cached = this.#cached;
    const isFresh = cached && nowMs - cached.fetchedAtMs <= cached.answer.ttlMs;
    if (!isFresh || cached.answer.addresses.length === 0) this.#fetch(nowMs);
    const addresses = this.#cached?.answer.addresses ?? [];
    return this.#pick(addresses)?.address ?? null;
  }

  #fetch(nowMs: number): void {
    const vm = this.#pick(
      [...this.#world.vms.values()].filter(({ refusesWork }) => !refusesWork),
    );
    const deployment = vm?.configuration.current()?.bodies.deployment;
    this.#cached = vm && deployment && {
      fetchedAtMs: nowMs,
      answer: listAddresses(vm.membership, {
        spreadBy: `${this.#options.name}-${nowMs}`,
        ttlMs: deployment.addressTtlMs,
      }),
    };
  }

  #commonFields(kind: string) {
    this.#sent += 1;
    return {
      workspace: asId<never>("lenders"),
      caller: asId<never>(this.#options.name),
      request: asId<never>(`${this.#options.name}-${kind}-${this.#sent}`),
      deadlineAtMs: Date.now() + DEADLINE_MS,
    };
  }

  #record(request: AddressedRequest): AddressedRequest {
    this.requests.push(request);
    return request;
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#options.random() * items.length)];
  }
}

/** Describes why a request was not answered correctly; null if it was. */
export function describeFailure(request: AddressedRequest): string | null {
  const { connection, vm, sentAtMs } = request;
  const label = `${connection.request.request} at ${vm}, sent ${sentAtMs}`;
  if (connection.broken) return `${label}: connection refused or cut`;
  if (!("last" in connection)) {
    if (!connection.verdict) return `${label}: no verdict`;
    return connection.verdict.isOk()
      ? null
      : `${label}: ${connection.verdict.error.reason}`;
  }
  if (!connection.last) return `${label}: no end`;
  if (connection.last.kind === "refused") {
    return `${label}: ${connection.last.refusal.reason}`;
  }
  const { prompt } = connection.request;
  const expected = expectedAnswer(
    { text: prompt, tokens: 0, blocks: [] },
    request.tokens,
  );
  return connection.text === expected ? null : `${label}: wrong text`;
}
