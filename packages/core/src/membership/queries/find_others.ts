/** Finds the other VMs that are in a given state. */
import type { Member, MembershipView, VmState } from "../types.ts";

/** Returns the VMs other than this one that are live, or in another given state. */
export function findOthers(
  view: Pick<MembershipView, "self" | "members">,
  state: VmState = "live",
): Member[] {
  return view.members().filter((member) =>
    member.id !== view.self.id && member.state === state
  );
}
