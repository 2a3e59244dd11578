/** The bodies that the sends of one call received, of which at most one is passed on. */
import { freeMemory } from "../common/memory_budget.ts";

/** Frees the memory of bodies that aren't passed on. */
export class ReceivedBodies {
  #bodies: Uint8Array[] = [];
  #hasEnded = false;

  /** Adds a body; one that comes after the end of the call is freed at once. */
  add(body: Uint8Array): void {
    if (this.#hasEnded) freeMemory(body);
    else this.#bodies.push(body);
  }

  /** Called at the end of the call, with the body that is passed on, if any. */
  freeOthers(passedOn: Uint8Array | null): void {
    this.#hasEnded = true;
    for (const body of this.#bodies.splice(0)) {
      if (body !== passedOn) freeMemory(body);
    }
  }
}
