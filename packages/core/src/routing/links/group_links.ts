/** What a VM knows of its links to the endpoints of one group. */
import type { EndpointId } from "../../common/ids.ts";
import { MachineTask } from "../../common/machine_task.ts";
import { linkMachine } from "./link_machine.ts";
import { SendOutcomes } from "./send_outcomes.ts";
import type { EndpointGroup } from "./types.ts";

/** The state of the links to one group, and the evidence for it. */
export class GroupLinks {
  readonly machine = new MachineTask(linkMachine, {
    input: undefined,
    perform: () => {},
  });
  readonly sends = new SendOutcomes();
  /** When the newest send began that was answered, and by which endpoint. */
  answeredSendMs = -Infinity;
  answeredBy: EndpointId | null = null;
  /** When the first and the last send of the current series of failures began. */
  firstFailedSendMs = Infinity;
  lastFailedSendMs = -Infinity;
  failures = 0;
  /** Start of the check or of the loss; answers to sends before say nothing about it. */
  changedAtMs = -Infinity;
  nextCheckAtMs = -Infinity;
  /** Checks in a row that neither got an answer nor found a loss. */
  emptyChecks = 0;
  /** The check in progress. */
  check: Promise<void> | null = null;
  /** The last check for other VMs, which those that ask at the same time share. */
  sharedCheck: {
    readonly atMs: number;
    readonly reached: Promise<EndpointId | null>;
  } | null = null;
  retryTimer: ReturnType<typeof setTimeout> | undefined;

  constructor(readonly group: EndpointGroup) {}

  get state(): "linked" | "checking" | "lost" {
    return this.machine.snapshot.value as "linked" | "checking" | "lost";
  }

  noteAnswered(endpoint: EndpointId, sentAtMs: number): void {
    this.sends.noteAnswered(endpoint, sentAtMs);
    if (sentAtMs < this.answeredSendMs) return;
    this.answeredSendMs = sentAtMs;
    this.answeredBy = endpoint;
  }

  noteFailed(endpoint: EndpointId, sentAtMs: number): void {
    this.sends.noteFailed(endpoint, sentAtMs);
    this.failures += 1;
    this.firstFailedSendMs = Math.min(this.firstFailedSendMs, sentAtMs);
    this.lastFailedSendMs = Math.max(this.lastFailedSendMs, sentAtMs);
  }

  resetFailures(): void {
    this.failures = 0;
    this.firstFailedSendMs = Infinity;
  }
}
