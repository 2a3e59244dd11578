/** Running estimate of output length for each workspace. */
import type { WorkspaceId } from "../common/ids.ts";

const FIRST_GUESS_TOKENS = 300;
const FIRST_GUESS_WEIGHT = 4;
const FORGETTING = 0.98;

interface Mean {
  weight: number;
  sum: number;
}

/** Estimates how many tokens an answer will have, for one model. */
export class LengthEstimates {
  #all: Mean = {
    weight: FIRST_GUESS_WEIGHT,
    sum: FIRST_GUESS_TOKENS * FIRST_GUESS_WEIGHT,
  };
  #byWorkspace = new Map<WorkspaceId, Mean>();

  /** Takes in the length of a finished answer. */
  observe(workspace: WorkspaceId, tokens: number): void {
    let own = this.#byWorkspace.get(workspace);
    if (!own) {
      own = {
        weight: FIRST_GUESS_WEIGHT,
        sum: FIRST_GUESS_WEIGHT * this.mean,
      };
      this.#byWorkspace.set(workspace, own);
    }
    add(own, tokens);
    add(this.#all, tokens);
  }

  /** Mean length over all workspaces. */
  get mean(): number {
    return this.#all.sum / this.#all.weight;
  }

  /** Expected length of one workspace's answers, at most `maxTokens`. */
  estimateTokens(workspace: WorkspaceId, maxTokens: number): number {
    const own = this.#byWorkspace.get(workspace);
    return Math.min(maxTokens, own ? own.sum / own.weight : this.mean);
  }
}

function add(mean: Mean, tokens: number): void {
  mean.weight = mean.weight * FORGETTING + 1;
  mean.sum = mean.sum * FORGETTING + tokens;
}
