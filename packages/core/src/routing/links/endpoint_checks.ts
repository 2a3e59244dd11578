/** Calls endpoints only to find out whether they answer this VM. */
import type { ServiceName } from "../../common/ids.ts";
import { shuffle } from "../../common/shuffle.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { RoutedEndpointPort } from "../port.ts";
import type { EndpointEntry, Stage } from "../types.ts";
import type { GroupLinks } from "./group_links.ts";
import type { EndpointGroup } from "./types.ts";

/** Endpoints that are checked at a time. */
const CHECKED_ENDPOINTS = 3;
const STAGES: readonly (Stage | null)[] = [null, "prefill", "decode"];

/** Options of {@link EndpointChecks}. */
export interface EndpointChecksOptions {
  endpoints: () => EndpointRegistry;
  port: () => Pick<RoutedEndpointPort, "checkLink">;
  /** Path at which the endpoints of a plain service report their health. */
  healthPathOf: (service: ServiceName) => string | null;
  random: () => number;
}

/** Options of {@link EndpointChecks.checkSome}. */
export interface CheckSomeOptions {
  timeoutMs: number;
  count?: number;
  onAnswer?: (entry: EndpointEntry) => void;
}

/** The checks of one VM; answers are noted in the links of the group. */
export class EndpointChecks {
  #options: EndpointChecksOptions;

  constructor(options: EndpointChecksOptions) {
    this.#options = options;
  }

  /**
   * Checks some endpoints of a group; resolves early with the first answer.
   * `unknown` if none could be asked.
   */
  checkSome(
    links: GroupLinks,
    { timeoutMs, count = CHECKED_ENDPOINTS, onAnswer = () => {} }:
      CheckSomeOptions,
  ): Promise<"answered" | "none" | "unknown"> {
    const usable = this.usable(links.group);
    const chosen = shuffle(usable, this.#options.random).slice(0, count);
    return new Promise((resolve) => {
      const checks = chosen.map(async ({ entry }) => {
        const answers = await this.check(links, entry, timeoutMs);
        if (!answers) return answers;
        onAnswer(entry);
        resolve("answered");
        return answers;
      });
      void Promise.all(checks).then((results) =>
        resolve(results.includes(false) ? "none" : "unknown")
      );
    });
  }

  /** Checks one endpoint; undefined if it can't be asked. */
  async check(
    links: GroupLinks,
    entry: EndpointEntry,
    timeoutMs: number,
  ): Promise<boolean | undefined> {
    const { healthPathOf, port } = this.#options;
    const sentAtMs = performance.now();
    const answers = await port().checkLink(entry, {
      healthPath: healthPathOf(entry.service),
      timeoutMs,
    });
    if (answers) links.noteAnswered(entry.id, sentAtMs);
    else if (answers === false) links.sends.noteFailed(entry.id, sentAtMs);
    return answers;
  }

  /** Endpoints of a group that accept new work. */
  usable({ service, stage }: EndpointGroup): EndpointRecord[] {
    return this.#options.endpoints().usable(service, stage);
  }

  /** All groups that have endpoints. */
  knownGroups(): EndpointGroup[] {
    const services = new Set(
      this.#options.endpoints().entries().map(({ service }) => service),
    );
    return [...services].flatMap((service) =>
      STAGES.map((stage) => ({ service, stage }))
        .filter((group) => this.usable(group).length > 0)
    );
  }
}
