/** A caller that asks for addresses, keeps the answer for its time to live, and uses it. */
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
  readonly askedAtMs: number;
}

/** One request that was sent to an address kept within its time to live. */
export interface AddressedRequest {
  readonly vm: string;
  readonly sentAtMs: number;
  readonly connection: CallerCall | CallerSummary;
  /** Tokens that a summary's answer has. */
  readonly tokens: number;
}

/** Options of {@link AddressCaller}. */
export interface AddressCallerOptions {
  name: string;
  /** A number from 0 up to 1. */
  random: () => number;
}

/** Sends requests as a caller without a balancer does. */
export class AddressCaller {
  readonly requests: AddressedRequest[] = [];
  #world: World;
  #options: AddressCallerOptions;
  #kept: CachedAnswer | undefined;
  #sent = 0;

  constructor(world: World, options: AddressCallerOptions) {
    this.#world = world;
    this.#options = options;
  }

  /** Sends a summary of so many tokens; null while no VM can be found. */
  sendSummary(tokens: number): AddressedRequest | null {
    const vm = this.#chooseVm();
    return vm ? this.sendSummaryTo(vm, tokens) : null;
  }

  /** Sends a summary of so many tokens to a VM that the caller knows already. */
  sendSummaryTo(vm: string, tokens: number): AddressedRequest {
    const request: SummaryRequest = {
      ...this.#common("summary"),
      model: asId(MODEL),
      prompt: `Summarise ${this.#sent} [length=${tokens}]`,
      maxTokens: tokens,
      fromOffset: 0,
    };
    return this.#keep({
      vm,
      sentAtMs: performance.now(),
      connection: this.#world.sendSummary(vm, request),
      tokens,
    });
  }

  /** Sends a filing; null while no VM can be found. */
  sendCall(): AddressedRequest | null {
    const vm = this.#chooseVm();
    if (!vm) return null;
    const request: CallRequest = {
      ...this.#common("filing"),
      service: asId(SERVICE),
      method: "POST",
      path: "/filings",
      contentType: "application/json",
      body: "{}",
    };
    return this.#keep({
      vm,
      sentAtMs: performance.now(),
      connection: this.#world.sendCall(vm, request),
      tokens: 0,
    });
  }

  /** Asks a live VM, unless an answer is still good. */
  #chooseVm(): string | null {
    const nowMs = performance.now();
    const kept = this.#kept;
    const isGood = kept && nowMs - kept.askedAtMs <= kept.answer.ttlMs;
    if (!isGood || kept.answer.addresses.length === 0) this.#ask(nowMs);
    const addresses = this.#kept?.answer.addresses ?? [];
    return this.#pick(addresses)?.address ?? null;
  }

  #ask(nowMs: number): void {
    const vm = this.#pick(
      [...this.#world.vms.values()].filter(({ refusesWork }) => !refusesWork),
    );
    const deployment = vm?.configuration.current()?.bodies.deployment;
    this.#kept = vm && deployment && {
      askedAtMs: nowMs,
      answer: listAddresses(vm.membership, {
        spreadBy: `${this.#options.name}-${nowMs}`,
        ttlMs: deployment.addressTtlMs,
      }),
    };
  }

  #common(kind: string) {
    this.#sent += 1;
    return {
      workspace: asId<never>("lenders"),
      caller: asId<never>(this.#options.name),
      request: asId<never>(`${this.#options.name}-${kind}-${this.#sent}`),
      deadlineAtMs: Date.now() + DEADLINE_MS,
    };
  }

  #keep(request: AddressedRequest): AddressedRequest {
    this.requests.push(request);
    return request;
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#options.random() * items.length)];
  }
}

/** Says what went wrong with a request that should have been answered; null when nothing did. */
export function describeFailure(request: AddressedRequest): string | null {
  const { connection: outcome, vm, sentAtMs } = request;
  const label = `${outcome.request.request} at ${vm}, sent ${sentAtMs}`;
  if (outcome.broken) return `${label}: connection refused or cut`;
  if (!("last" in outcome)) {
    if (!outcome.verdict) return `${label}: no verdict`;
    return outcome.verdict.isOk()
      ? null
      : `${label}: ${outcome.verdict.error.reason}`;
  }
  if (!outcome.last) return `${label}: no end`;
  if (outcome.last.kind === "refused") {
    return `${label}: ${outcome.last.refusal.reason}`;
  }
  const { prompt } = outcome.request;
  const expected = expectedAnswer(
    { text: prompt, tokens: 0, blocks: [] },
    request.tokens,
  );
  return outcome.text === expected ? null : `${label}: wrong text`;
}
