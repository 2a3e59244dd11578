/** The deployments that experiments run on: replicas, speeds and the work that callers bring. */
import {
  type EngineFigures,
  SLICE_FIGURES,
  TODAY_FIGURES,
} from "@teaselvalve/fakes";

/** Names of the deployments. */
export const DEPLOYMENT_NAMES = [
  "rakennuskirjo",
  "aile-adaleti",
  "letter-1-slice",
] as const;

/** Name of a deployment. */
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

/** How requests arrive. */
export type ArrivalPattern =
  | { readonly kind: "steady" }
  /** Several requests at a time, as when a quarter's filings are summarised. */
  | {
    readonly kind: "batches";
    readonly meanSize: number;
    readonly spacingMs: number;
  }
  /** Short times of more arrivals. */
  | {
    readonly kind: "bursts";
    readonly factor: number;
    readonly lengthMs: number;
    readonly meanGapMs: number;
  };

/** A deployment as the experiments run it. */
export interface ExperimentDeployment {
  readonly name: DeploymentName;
  readonly profile: EngineFigures;
  readonly vms: number;
  readonly prefills: number;
  readonly decodes: number;
  readonly dataCentres: readonly string[];
  readonly prefillWasteWeight: number;
  readonly meanOutputTokens: number;
  readonly giveUpShare: number;
  readonly arrivals: ArrivalPattern;
  /** Arrivals before the measured time fill the replicas. */
  readonly warmUpMs: number;
  /** Time in which arrivals are measured. */
  readonly measureMs: number;
}

/** The deployments by name. */
export const DEPLOYMENTS: Readonly<
  Record<DeploymentName, ExperimentDeployment>
> = {
  "rakennuskirjo": {
    name: "rakennuskirjo",
    profile: TODAY_FIGURES,
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
    profile: TODAY_FIGURES,
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
    profile: SLICE_FIGURES,
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

/** Time to the first token within which a request is in time. */
export const FIRST_TOKEN_TARGET_MS = 610;
/** Largest mean time between a request's tokens. */
export const BETWEEN_TOKENS_TARGET_MS = 28;
/** Most tokens that callers ask for. */
export const MAX_OUTPUT_TOKENS = 4_000;
