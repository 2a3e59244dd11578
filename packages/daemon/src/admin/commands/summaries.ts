/** Routes that change running summaries. */
import {
  type Member,
  notRun,
  type RequestKey,
  workspaceOf,
} from "@teaselvalve/core";
import { err, ok } from "neverthrow";
import {
  type AdminContext,
  type AdminRoutes,
  mayChangeWorkspace,
} from "../types.ts";
import { listSummaries, matchesKey } from "../queries/summaries.ts";

const CANCEL_TIMEOUT_MS = 2_000;

/** Response to a successful cancellation. */
export interface CancelOutcome {
  readonly key: RequestKey;
  /** Id of the VM that cancelled the summary. */
  readonly vm: string;
}

/** Response bodies of the summary commands. */
export interface SummaryCommands {
  "POST /admin/summaries/:key/cancel": CancelOutcome;
}

/** Creates the summary commands. */
export function createSummaryCommands(
  context: AdminContext,
): AdminRoutes<SummaryCommands> {
  return {
    "POST /admin/summaries/:key/cancel": {
      minimumRole: "operator",
      async handle({ params, principal }) {
        const key = params.key as RequestKey;
        if (!mayChangeWorkspace(principal, workspaceOf(key))) {
          return err(notRun("forbidden"));
        }
        for (const owner of await findOwners(context, key)) {
          if (await cancelAt(context, { owner, key })) {
            return ok({ body: { key, vm: owner.id } });
          }
        }
        return err(notRun("not-found"));
      },
    },
  };
}

/** Lists the VMs that may own a summary: owners from load reports first, then this VM. */
async function findOwners(
  context: AdminContext,
  key: RequestKey,
): Promise<Member[]> {
  const { membership } = context.vm;
  const listed = await listSummaries(context);
  const reported = listed.filter((run) => matchesKey(run, key))
    .map((run) => membership.member(run.owner))
    .filter((member) => member !== undefined);
  // A load report may be too old to include the run, so this VM is tried as well.
  const self = membership.member(membership.self.id);
  return [...new Set(self ? [...reported, self] : reported)];
}

async function cancelAt(
  { vm }: AdminContext,
  options: { owner: Member; key: RequestKey },
): Promise<boolean> {
  const answer = await vm.context.ports.peers.call(
    options.owner,
    "summaries/cancel",
    { params: { key: options.key }, timeoutMs: CANCEL_TIMEOUT_MS },
  );
  return answer.isOk() && answer.value.known;
}
