/** State machine of the links from this VM to one group of endpoints. */
import { setup } from "xstate";

/** What is found out about the links. */
export type LinkEvent =
  /** Sends fail, and none that began later was answered. */
  | { readonly type: "suspected" }
  /** An endpoint answered a send that began after the suspicion. */
  | { readonly type: "answered" }
  /** No endpoint answers this VM, and one answers another VM. */
  | { readonly type: "lost" }
  /** Other VMs don't get answers either, or aren't there. */
  | { readonly type: "notLost" };

/** `checking` and `lost` end with the first answer. */
export const linkMachine = setup({
  types: { events: {} as LinkEvent },
}).createMachine({
  id: "links",
  initial: "linked",
  states: {
    linked: { on: { suspected: "checking" } },
    checking: { on: { answered: "linked", notLost: "linked", lost: "lost" } },
    lost: { on: { answered: "linked" } },
  },
});
