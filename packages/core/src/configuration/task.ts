/** Holds the configuration in force: polls the head, accepts manifests, answers peers. */
import { z } from "zod";
import type { RowWrite } from "../ports/platform.ts";
import type { Member } from "../membership/types.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import {
  CONFIGURATION_TABLE,
  fetchBodies,
  HEAD_KEY,
  headValue,
  putBody,
  readHead,
} from "./store.ts";
import {
  type Configuration,
  type ConfigurationHead,
  type Manifest,
  ManifestSchema,
  type ScopeHead,
  SCOPES,
  type SubmissionOutcome,
} from "./types.ts";

const POLL_INTERVAL_MS = 1_000;
const HOLD_TIMEOUT_MS = 2_000;

/** Reads the configuration in force. */
export interface ConfigurationView {
  current(): Configuration | null;
}

/** Options of {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  members: () => readonly Member[];
}

/** Owns the configuration in force on this VM. */
export class ConfigurationTask implements ConfigurationView, VmTask {
  #context: VmContext;
  #options: ConfigurationTaskOptions;
  #current: Configuration | null = null;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(context: VmContext, options: ConfigurationTaskOptions) {
    this.#context = context;
    this.#options = options;
  }

  async start(): Promise<void> {
    await this.poll();
    this.#timer = setInterval(() => this.poll(), POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  current(): Configuration | null {
    return this.#current;
  }

  /** The version in force; 0 when there is none. */
  version(): number {
    return this.#current?.head.version ?? 0;
  }

  /** Reads the head and puts a newer configuration in force. */
  async poll(): Promise<number> {
    const { platform } = this.#context.ports;
    const row = await readHead(platform);
    if (row.isErr() || row.value.head.version <= this.version()) {
      return this.version();
    }
    const { head } = row.value;
    const fetched = await fetchBodies(platform, { head, held: this.#current });
    if (fetched.isOk()) this.#adopt(fetched.value);
    return this.version();
  }

  /** Checks, commits and spreads a manifest. */
  async submit(submission: unknown): Promise<SubmissionOutcome> {
    const parsed = ManifestSchema.safeParse(submission);
    if (!parsed.success) {
      return { kind: "invalid", errors: listErrors(parsed.error) };
    }
    const manifest = parsed.data;
    const row = await readHead(this.#context.ports.platform);
    if (row.isErr()) return { kind: "unavailable", retryAfterMs: 1_000 };
    const conflicts = findConflicts(manifest, row.value.head);
    if (conflicts.length > 0) return { kind: "conflict", conflicts };
    const head = await this.#storeBodies(manifest, row.value.head);
    if (!head) return { kind: "unavailable", retryAfterMs: 1_000 };
    const write: RowWrite = {
      table: CONFIGURATION_TABLE,
      key: HEAD_KEY,
      expect: row.value.rowVersion === 0
        ? { kind: "absent" }
        : { kind: "version", version: row.value.rowVersion },
      value: headValue(head),
    };
    const outcome = await this.#context.ports.platform.transact([write]);
    if (outcome.isErr()) return { kind: "unknown", retryAfterMs: 1_000 };
    if (outcome.value.kind === "conflict") return this.submit(submission);
    await this.poll();
    return {
      kind: "accepted",
      version: head.version,
      holders: await this.#countHolders(head.version),
    };
  }

  async #storeBodies(
    manifest: Manifest,
    before: ConfigurationHead,
  ): Promise<ConfigurationHead | null> {
    const version = before.version + 1;
    const scopes: Record<string, ScopeHead | undefined> = { ...before.scopes };
    for (const scope of SCOPES) {
      const change = manifest.scopes[scope];
      if (!change) continue;
      const name = await putBody(this.#context.ports.platform, change.body);
      if (name.isErr()) return null;
      scopes[scope] = { version, digest: name.value };
    }
    return { version, scopes };
  }

  async #countHolders(version: number): Promise<number> {
    const others = this.#options.members().filter((member) =>
      member.state === "live" && member.id !== this.#context.identity.id
    ).slice(0, 2);
    const answers = await Promise.all(
      others.map((member) =>
        this.#context.ports.peers.call(member, "configuration/hold", {
          params: { version },
          timeoutMs: HOLD_TIMEOUT_MS,
        })
      ),
    );
    const held = answers.filter((answer) =>
      answer.isOk() && answer.value.version >= version
    );
    return held.length + 1;
  }

  #adopt(configuration: Configuration): void {
    if (configuration.head.version <= this.version()) return;
    this.#current = configuration;
    this.#context.observer.count("configuration_changes", "adopted");
    this.#context.observer.log({
      event: "configuration-in-force",
      version: configuration.head.version,
    });
  }
}

function listErrors(
  error: z.ZodError,
): { path: string; message: string }[] {
  return error.issues.map((issue) => ({
    path: issue.path.join("."),
    message: issue.message,
  }));
}

function findConflicts(manifest: Manifest, head: ConfigurationHead) {
  return SCOPES.flatMap((scope) => {
    const basedOn = manifest.scopes[scope]?.basedOn;
    const current = head.scopes[scope]?.version ?? 0;
    if (basedOn === undefined || basedOn === current) return [];
    return [{ scope, basedOn, current, difference: [] }];
  });
}
