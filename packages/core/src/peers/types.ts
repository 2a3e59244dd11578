/** All methods that a VM offers to its peers. */
import type { ConfigurationHandlers } from "../configuration/app.ts";
import type { MembershipHandlers } from "../membership/app.ts";
import type { SummariesHandlers } from "../summaries/app.ts";
import type { GrantsHandlers } from "../grants/app.ts";
import type { CallsHandlers } from "../calls/app.ts";
import type { QuotasHandlers } from "../quotas/app.ts";
import type { RoutingHandlers } from "../routing/app.ts";
import type { SuspectsHandlers } from "../suspects/app.ts";

/** Handlers of the peer interface, by method name. */
export type PeerHandlers =
  & ConfigurationHandlers
  & MembershipHandlers
  & SummariesHandlers
  & GrantsHandlers
  & CallsHandlers
  & QuotasHandlers
  & RoutingHandlers
  & SuspectsHandlers;
