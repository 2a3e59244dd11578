/** The simulated deployments: number and speed of the replicas, and the workload of their callers. */
import {
  CURRENT_PROFILE,
  type EngineProfile,
  SLICE_PROFILE,
} from "@teaselvalve/fakes";

/** Names of the deployments, as the `--deployment` flag takes them. */
export const DEPLOYMENT_NAMES = [
  "rakennuskirjo",
  "aile-adaleti",
  "letter-1-slice",
] as const;

/** One of {@link DEPLOYMENT_NAMES}. */
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

/** How requests arrive over time. */
export type ArrivalPattern =
  | { readonly kind: "steady" }
  /** Groups of requests, evenly spaced within a group, as when the filings of a quarter are summarised. */
  | {
    readonly kind: "batches";
    readonly meanSize: number;
    readonly spacingMs: number;
  }
  /** Bursts at `factor` times the mean rate, with random gaps in between. */
  | {
    readonly kind: "bursts";
    readonly factor: number;
    readonly lengthMs: number;
    readonly meanGapMs: number;
  };

/** Size, engine speed and workload of a simulated deployment. */
export interface ExperimentDeployment {
  readonly name: DeploymentName;
  readonly profile: EngineProfile;
  readonly vms: number;
  readonly prefills: number;
  readonly decodes: number;
  readonly dataCentres: readonly string[];
  readonly prefillWasteWeight: number;
  readonly meanOutputTokens: number;
  readonly giveUpShare: number;
  readonly arrivals: ArrivalPattern;
  /** Time before the measured interval, in which arrivals fill the replicas. */
  readonly warmUpMs: number;
  /** Length of the interval whose arrivals are measured. */
  readonly measureMs: number;
}

/** All deployments by name. */
export const DEPLOYMENTS: Readonly<
  Record<DeploymentName, ExperimentDeployment>
> = {
  "rakennuskirjo": {
    name: "rakennuskirjo",
    profile: CURRENT_PROFILE,
    vms: 8,
    prefills: 2,
    decodes: 10,
    dataCentres: ["helsinki-a", "espoo-b", "vantaa-c"],
    prefillWasteWeight: 1,
    meanOutputTokens: 500,
    giveUpShare: 0.03,
    arrivals: { kind: "batches", meanSize: 3, spacingMs: 30 },
    warmUpMs: 15_000,
    measureMs: 40_000,
  },
  "aile-adaleti": {
    name: "aile-adaleti",
    profile: CURRENT_PROFILE,
    vms: 7,
    prefills: 2,
    decodes: 4,
    dataCentres: ["anadolu-a", "anadolu-b", "anadolu-c"],
    prefillWasteWeight: 0.2,
    meanOutputTokens: 300,
    giveUpShare: 0.08,
    arrivals: {
      kind: "bursts",
      factor: 1.5,
      lengthMs: 1_500,
      meanGapMs: 10_000,
    },
    warmUpMs: 15_000,
    measureMs: 40_000,
  },
  "letter-1-slice": {
    name: "letter-1-slice",
    profile: SLICE_PROFILE,
    vms: 12,
    prefills: 8,
    decodes: 24,
    dataCentres: ["north-a", "north-b"],
    prefillWasteWeight: 0.5,
    meanOutputTokens: 500,
    giveUpShare: 0.03,
    arrivals: { kind: "steady" },
    warmUpMs: 14_000,
    measureMs: 12_000,
  },
};

/** Longest time to the first token that counts as goodput. */
export const FIRST_TOKEN_TARGET_MS = 610;
/** Longest mean time between the tokens of a request that counts as goodput. */
export const BETWEEN_TOKENS_TARGET_MS = 28;
/** Output token limit that callers send with each request. */
export const MAX_OUTPUT_TOKENS = 4_000;
