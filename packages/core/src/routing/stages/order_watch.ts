/**
 * Finds out which engines are carrying out an order that this VM doesn't know of.
 *
 * Such an engine reserves places and refuses the requests sent to them. A VM that
 * started after the order, or missed the notice of it, would prefill their prompts
 * for nothing until the engine's entry shows the new stage.
 */
import type { EndpointId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import { wait } from "../../common/wait.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { RoutedEndpointPort } from "../port.ts";

const REPORT_TIMEOUT_MS = 500;
/** Interval of the reports while an engine carries out an order. */
const REPORT_INTERVAL_MS = 1_000;
/** How long an engine takes no work after such a report; longer than until the next one. */
const BUSY_MS = 2_000;
/** Time after which an engine that refuses without an order is asked again. */
const ASK_PAUSE_MS = 1_000;
/** Maximum reports in a row, in case an engine never ends an order. */
const MAX_REPORTS = 30;

/** Options of {@link OrderWatch}. */
export interface OrderWatchOptions {
  port: Pick<RoutedEndpointPort, "report">;
  /** Called with the time for which an engine takes no work, again while that lasts. */
  onBusy: (endpoint: EndpointId, forMs: number) => void;
  observer: Observer;
}

/** Asks engines that refuse reserved requests for their reports. */
export class OrderWatch {
  #options: OrderWatchOptions;
  /** When engines may be asked again; infinite while they are being asked. */
  #askAgainAtMs = new Map<EndpointId, number>();

  constructor(options: OrderWatchOptions) {
    this.#options = options;
  }

  /** Asks an engine that refused a request despite its reservation, until it is idle. */
  async noteRefusal(record: EndpointRecord): Promise<void> {
    const { id, stage } = record.entry;
    const nowMs = performance.now();
    if (stage === null || record.isReconfiguring(nowMs)) return;
    if (nowMs < (this.#askAgainAtMs.get(id) ?? -Infinity)) return;
    this.#askAgainAtMs.set(id, Infinity);
    const reports = await this.#follow(record);
    this.#forgetOld();
    this.#askAgainAtMs.set(id, performance.now() + ASK_PAUSE_MS);
    if (reports === 0) return;
    const event = "engine-order-followed";
    this.#options.observer.log({ event, endpoint: id, reports });
  }

  /** Returns the number of reports by which the engine was carrying out an order. */
  async #follow(record: EndpointRecord): Promise<number> {
    const { port, onBusy } = this.#options;
    const { stage } = record.entry;
    for (let reports = 0; reports < MAX_REPORTS; reports += 1) {
      const options = { timeoutMs: REPORT_TIMEOUT_MS };
      const report = await port.report(record.entry, options);
      const isChanged = record.entry.stage !== stage;
      if (report.isErr() || !report.value.busy || isChanged) return reports;
      // Another VM has found out at the same time, and follows the order.
      const isFollowed = record.isReconfiguring(performance.now());
      if (reports === 0 && isFollowed) return reports;
      onBusy(record.entry.id, BUSY_MS);
      await wait(REPORT_INTERVAL_MS);
      if (record.entry.stage !== stage) return reports + 1;
    }
    return MAX_REPORTS;
  }

  #forgetOld(): void {
    const nowMs = performance.now();
    for (const [id, atMs] of this.#askAgainAtMs) {
      if (atMs <= nowMs) this.#askAgainAtMs.delete(id);
    }
  }
}
