/**
 * `npm run bench`: measures grant decisions and the relay of summaries, and prints the
 * results and their ratios to the targets as JSON.
 */
import process from "node:process";
import { type GrantsResult, measureGrants } from "./grants.ts";
import { measureRelay } from "./relay.ts";

/** From the size of today's deployments to the largest size that the design is for. */
const SIZES = [
  { replicas: 12, models: 1 },
  { replicas: 150, models: 6 },
  { replicas: 600, models: 23 },
  { replicas: 1_200, models: 23 },
];
const GRANT_TARGET = { replicas: 600, medianUs: 50 };
const RELAY_TARGETS = { tokensPerCoreSecond: 50_000, addedFirstTokenP99Ms: 5 };

const grants: GrantsResult[] = SIZES.map((size) => measureGrants(size));
process.stderr.write(`${JSON.stringify(grants)}\n`);
const relay = await measureRelay();
const targetSizeResult = grants.find((result) =>
  result.replicas === GRANT_TARGET.replicas
)!;
const ratios = {
  grantMedianToTarget: targetSizeResult.medianUs / GRANT_TARGET.medianUs,
  relayTokensToTarget: relay.tokensPerCoreSecond /
    RELAY_TARGETS.tokensPerCoreSecond,
  addedFirstTokenToTarget: relay.addedFirstTokenP99Ms /
    RELAY_TARGETS.addedFirstTokenP99Ms,
};
process.stdout.write(`${JSON.stringify({ grants, relay, ratios }, null, 2)}\n`);
