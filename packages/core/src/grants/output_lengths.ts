/** Estimates the output lengths of one shard's answers by exponentially weighted means. */
import type { WorkspaceId } from "../common/ids.ts";

const PRIOR_MEAN_TOKENS = 300;
/** Weight of the prior mean, in observations. */
const PRIOR_WEIGHT = 4;
/** Each new observation multiplies the weight of all earlier ones by this. */
const FORGETTING_FACTOR = 0.98;

interface Mean {
  weight: number;
  sum: number;
}

/** Expected output lengths of the answers that one shard's home has seen end, per workspace and overall. */
export class LengthEstimates {
  #overall: Mean = {
    weight: PRIOR_WEIGHT,
    sum: PRIOR_MEAN_TOKENS * PRIOR_WEIGHT,
  };
  #byWorkspace = new Map<WorkspaceId, Mean>();

  /** Records the length of a finished answer; a new workspace starts from the overall mean. */
  observe(workspace: WorkspaceId, tokens: number): void {
    let own = this.#byWorkspace.get(workspace);
    if (!own) {
      own = {
        weight: PRIOR_WEIGHT,
        sum: PRIOR_WEIGHT * this.mean,
      };
      this.#byWorkspace.set(workspace, own);
    }
    add(own, tokens);
    add(this.#overall, tokens);
  }

  /** Mean length over all workspaces, in tokens. */
  get mean(): number {
    return this.#overall.sum / this.#overall.weight;
  }

  /**
   * Expected length of a workspace's answers, at most `maxTokens`; the overall
   * mean if it has none yet.
   */
  estimateTokens(workspace: WorkspaceId, maxTokens: number): number {
    const own = this.#byWorkspace.get(workspace);
    return Math.min(maxTokens, own ? own.sum / own.weight : this.mean);
  }
}

function add(mean: Mean, tokens: number): void {
  mean.weight = mean.weight * FORGETTING_FACTOR + 1;
  mean.sum = mean.sum * FORGETTING_FACTOR + tokens;
}
