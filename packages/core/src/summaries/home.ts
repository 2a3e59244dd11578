/** The home of request keys: knows which VM runs a summary. */
import type { RequestKey } from "../shared/ids.ts";
import type { RegisterAnswer } from "./app.ts";
import type { Registration } from "./types.ts";

/** Owns the registrations of the keys that this VM is home for. */
export class SummariesHome {
  #registrations = new Map<RequestKey, Registration>();

  /** Registers a key, or shows who has it. */
  register(
    params: { registration: Registration; takeOver: boolean },
  ): RegisterAnswer {
    const { registration, takeOver } = params;
    const held = this.#registrations.get(registration.key);
    const replaces = !held || takeOver ||
      held.owner.incarnation === registration.owner.incarnation;
    if (!replaces) return { kind: "exists", registration: held };
    this.#registrations.set(registration.key, registration);
    return { kind: "new" };
  }
}
