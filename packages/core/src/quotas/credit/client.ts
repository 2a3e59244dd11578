/**
 * Charges this VM's requests to the quotas of their workspaces, with credit that it
 * draws from the workspaces' homes.
 *
 * Handles bursts and homes that don't answer: requests that wait for credit go into one
 * message, and without an answer this VM uses its own equal share of the quota.
 */
import { err, ok, type Result } from "neverthrow";
import { asId, type WorkspaceId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { type NotRun, notRun } from "../../common/verdict.ts";
import type { MembershipView } from "../../membership/types.ts";
import type { PeerFailure, PeerPort, PeerRef } from "../../ports/peers.ts";
import type { WorkspaceQuota } from "../../routing/workspaces/types.ts";
import { costOf } from "./cost.ts";
import { type CreditHome, creditKeyOf } from "./home.ts";
import { type CreditSource, LocalCredit } from "./local_credit.ts";
import { RefusalLog } from "./refusal_log.ts";
import type {
  CreditAdmission,
  CreditCharge,
  CreditDraw,
  CreditGrant,
  CreditMove,
  CreditRequest,
} from "./types.ts";
import type { VmShares } from "./vm_shares.ts";

/** A home answers within a few milliseconds; requests wait for it. */
const HOME_TIMEOUT_MS = 80;
/** How long a VM uses its own share after its home did not answer. */
const HOME_COOLDOWN_MS = 250;
/** The same after an answer without credit, by a VM of an older build or in another view. */
const OTHER_HOME_COOLDOWN_MS = 100;
/** A grant that took longer, for instance because of a freeze, is not used. */
const MAX_GRANT_AGE_MS = 250;
/** How long a VM asks the home that another VM named, until its own view names it. */
const MOVED_MS = 2_000;
/** Maximum VMs asked for one draw, where homes have changed. */
const MAX_HOMES = 3;
/**
 * Minimum time between two draws for the same request. A small request behind a large
 * one could be charged at once, and would otherwise be drawn for without a pause.
 */
const MIN_REDRAW_MS = 5;
/** Maximum requests in one draw. */
const MAX_NEEDS = 64;

/** Options of {@link CreditClient}. */
export interface CreditClientOptions {
  membership: Pick<MembershipView, "self" | "homeOf">;
  peers: PeerPort;
  home: CreditHome;
  shares: VmShares;
  tableVersion: () => number;
  observer: Observer;
}

interface WaitingRequest {
  readonly cost: number;
  readonly untilMs: number;
  /** Until then the home has no credit for it. */
  notBeforeMs: number;
  isOver: boolean;
  readonly settle: (result: Result<CreditCharge, NotRun>) => void;
}

interface Workspace {
  readonly id: WorkspaceId;
  quota: WorkspaceQuota;
  readonly credit: LocalCredit;
  waiting: WaitingRequest[];
  isDrawing: boolean;
  /** The home that the one in this VM's view named. */
  movedTo: PeerRef | null;
  movedUntilMs: number;
  timer: ReturnType<typeof setTimeout> | undefined;
}

const NO_CHARGE: CreditCharge = { giveBack() {} };

/** The requests of this VM that wait for credit, and the credit that it holds. */
export class CreditClient implements CreditAdmission {
  #options: CreditClientOptions;
  #workspaces = new Map<WorkspaceId, Workspace>();
  #refusals: RefusalLog;

  constructor(options: CreditClientOptions) {
    this.#options = options;
    this.#refusals = new RefusalLog(options.observer);
  }

  admit(request: CreditRequest): Promise<Result<CreditCharge, NotRun>> {
    const { id, quota } = request.workspace;
    if (!quota) return Promise.resolve(ok(NO_CHARGE));
    if (request.signal.aborted) {
      return Promise.resolve(err(notRun("cancelled")));
    }
    const workspace = this.#workspaceOf(id, quota);
    const cost = costOf(quota, request);
    workspace.credit.noteDemand(cost);
    return new Promise((resolve) => {
      const { signal } = request;
      const onAbort = () => waiting.settle(err(notRun("cancelled")));
      const nowMs = performance.now();
      const waiting: WaitingRequest = {
        cost,
        untilMs: nowMs + request.waitMs,
        notBeforeMs: nowMs,
        isOver: false,
        settle: (result) => {
          waiting.isOver = true;
          signal.removeEventListener("abort", onAbort);
          resolve(result);
        },
      };
      signal.addEventListener("abort", onAbort);
      workspace.waiting.push(waiting);
      this.#serve(workspace);
    });
  }

  /** Forgets workspaces without a quota. */
  keepOnly(quotas: ReadonlyMap<WorkspaceId, WorkspaceQuota>): void {
    for (const [id, { waiting }] of this.#workspaces) {
      if (!quotas.has(id) && waiting.length === 0) this.#workspaces.delete(id);
    }
  }

  stop(): void {
    for (const workspace of this.#workspaces.values()) {
      clearTimeout(workspace.timer);
      for (const { settle } of workspace.waiting) {
        settle(err(notRun("stopping")));
      }
      workspace.waiting = [];
    }
  }

  #serve(workspace: Workspace): void {
    const { credit, quota } = workspace;
    const expired = credit.expire();
    if (expired > 0) this.#count("expired");
    credit.fillOwn(quota, this.#options.shares.known);
    workspace.waiting = workspace.waiting.filter(({ isOver }) => !isOver);
    while (workspace.waiting.length > 0 && !workspace.isDrawing) {
      const [first] = workspace.waiting;
      const { cost } = first!;
      const source = credit.take(cost);
      if (source !== null) this.#grant(workspace, first!, source);
      else if (credit.isAlone) {
        const waitMs = Math.min(credit.ownWaitMs(cost), credit.aloneForMs);
        if (this.#isInTime(first!, waitMs)) {
          return this.#serveIn(workspace, waitMs);
        }
        this.#refuse(workspace, first!, credit.scheduleRetry(cost));
      } else if (credit.pausedForMs > 0) {
        const waitMs = credit.pausedForMs;
        if (this.#isInTime(first!, waitMs)) {
          return this.#serveIn(workspace, waitMs);
        }
        this.#refuse(workspace, first!, credit.scheduleRetry(cost));
      } else {
        const notBeforeMs = Math.min(
          ...workspace.waiting.map((waiting) => waiting.notBeforeMs),
        );
        const waitMs = notBeforeMs - performance.now();
        if (waitMs > 0) return this.#serveIn(workspace, waitMs);
        return void this.#draw(workspace);
      }
      workspace.waiting.shift();
    }
  }

  #serveIn(workspace: Workspace, delayMs: number): void {
    clearTimeout(workspace.timer);
    workspace.timer = setTimeout(
      () => this.#serve(workspace),
      Math.max(1, Math.ceil(delayMs)),
    );
  }

  async #draw(workspace: Workspace): Promise<void> {
    const { credit } = workspace;
    const batch = workspace.waiting.splice(0, MAX_NEEDS);
    const askedAtMs = performance.now();
    workspace.isDrawing = true;
    const grant = await this.#ask(workspace, {
      workspace: workspace.id,
      vm: this.#options.membership.self.id,
      tableVersion: this.#options.tableVersion(),
      knownVms: this.#options.shares.ownCount,
      needs: batch.map(({ cost, untilMs }) => ({
        cost,
        waitMs: Math.max(0, untilMs - askedAtMs),
      })),
      account: credit.account,
      returned: credit.takeReturns(),
      spentAlone: credit.spentAlone,
      demandPerSecond: credit.demandPerSecond,
    });
    workspace.isDrawing = false;
    const isOld = performance.now() - askedAtMs > MAX_GRANT_AGE_MS;
    if (!grant || isOld) {
      credit.beAlone({
        quota: workspace.quota,
        knownVms: this.#options.shares.known,
        forMs: grant === null ? OTHER_HOME_COOLDOWN_MS : HOME_COOLDOWN_MS,
      });
      workspace.waiting.unshift(...batch);
    } else this.#settleBatch(workspace, { batch, grant });
    this.#serve(workspace);
  }

  #settleBatch(
    workspace: Workspace,
    { batch, grant }: { batch: WaitingRequest[]; grant: CreditGrant },
  ): void {
    const { credit } = workspace;
    this.#noteHomeBack(workspace);
    credit.noteGrant(grant);
    const kept: WaitingRequest[] = [];
    batch.forEach((waiting, index) => {
      if (index < grant.granted) {
        return this.#grant(workspace, waiting, grant.account);
      }
      const retryAfterMs = Math.max(
        MIN_REDRAW_MS,
        grant.retryAfterMs[index - grant.granted] ?? 0,
      );
      if (grant.pauseMs === 0 && this.#isInTime(waiting, retryAfterMs)) {
        waiting.notBeforeMs = performance.now() + retryAfterMs;
        return void kept.push(waiting);
      }
      this.#refuse(
        workspace,
        waiting,
        Math.max(retryAfterMs, grant.pauseMs),
      );
    });
    workspace.waiting.unshift(...kept);
  }

  /** Asks the home; null if it has no credit to give, undefined if it doesn't answer. */
  async #ask(
    workspace: Workspace,
    draw: CreditDraw,
  ): Promise<CreditGrant | null | undefined> {
    for (let asked = 0; asked < MAX_HOMES; asked += 1) {
      const home = this.#homeOf(workspace);
      const answer = await this.#askVm(home, draw);
      const grant = answer.unwrapOr(null);
      if (grant && "movedTo" in grant) {
        workspace.movedTo = grant.movedTo;
        workspace.movedUntilMs = performance.now() + MOVED_MS;
        continue;
      }
      if (grant) return grant;
      workspace.movedTo = null;
      this.#logSilence(workspace, {
        peer: home.id,
        reason: answer.isErr() ? answer.error.kind : "no-account",
      });
      const isKnown = answer.isOk() || answer.error.kind === "refused";
      return isKnown ? null : undefined;
    }
    workspace.movedTo = null;
    return null;
  }

  async #askVm(
    vm: PeerRef,
    draw: CreditDraw,
  ): Promise<Result<CreditGrant | CreditMove | null, PeerFailure>> {
    const { membership, peers, home, shares } = this.#options;
    if (vm.id === membership.self.id) return ok(home.grant(draw));
    const answer = await peers.call(vm, "routing/credit", {
      params: draw,
      timeoutMs: HOME_TIMEOUT_MS,
    });
    const isKnown = answer.isOk() || answer.error.kind === "refused";
    shares.noteCall(asId(vm.id), isKnown);
    return answer;
  }

  #homeOf({ id, movedTo, movedUntilMs }: Workspace): PeerRef {
    return movedTo && performance.now() < movedUntilMs
      ? movedTo
      : this.#options.membership.homeOf(creditKeyOf(id));
  }

  #logSilence(
    { id, credit }: Workspace,
    fields: { peer: string; reason: string },
  ): void {
    if (credit.aloneSinceMs !== null) return;
    const event = "quota-home-silent";
    this.#options.observer.log({ event, workspace: id, ...fields });
  }

  #noteHomeBack({ id, credit }: Workspace): void {
    const { aloneSinceMs } = credit;
    if (aloneSinceMs === null) return;
    this.#options.observer.log({
      event: "quota-home-back",
      workspace: id,
      aloneMs: Math.round(performance.now() - aloneSinceMs),
    });
  }

  #grant(
    { credit }: Workspace,
    waiting: WaitingRequest,
    source: CreditSource,
  ): void {
    if (waiting.isOver) return credit.giveBack(waiting.cost, source);
    let isReturned = false;
    this.#count("admitted");
    waiting.settle(ok({
      giveBack: () => {
        if (isReturned) return;
        isReturned = true;
        credit.giveBack(waiting.cost, source);
        this.#count("refunded");
      },
    }));
  }

  #refuse(
    { id, credit }: Workspace,
    waiting: WaitingRequest,
    retryAfterMs: number,
  ): void {
    if (waiting.isOver) return;
    const reason = credit.isReduced ? "refused-by-failure" : "refused";
    this.#count(reason);
    this.#refusals.note(id, { reason, cost: waiting.cost });
    waiting.settle(err(notRun("quota-exceeded", { retryAfterMs })));
  }

  #isInTime({ untilMs }: WaitingRequest, delayMs: number): boolean {
    return performance.now() + delayMs <= untilMs;
  }

  #count(reason: string): void {
    this.#options.observer.count("quota_credit", reason);
  }

  #workspaceOf(id: WorkspaceId, quota: WorkspaceQuota): Workspace {
    const existing = this.#workspaces.get(id);
    if (existing) {
      existing.quota = quota;
      return existing;
    }
    const workspace: Workspace = {
      id,
      quota,
      credit: new LocalCredit(),
      waiting: [],
      isDrawing: false,
      movedTo: null,
      movedUntilMs: -Infinity,
      timer: undefined,
    };
    this.#workspaces.set(id, workspace);
    return workspace;
  }
}
