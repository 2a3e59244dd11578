/** Syntax tree of a scenario, as `grammar.peggy` produces it. */

/** Option of a `sends` statement. */
export type SendOption =
  | { readonly kind: "tokens"; readonly tokens: number }
  | { readonly kind: "offset"; readonly offset: number }
  /** Resumes after the last token that an earlier connection, named by its caller, received. */
  | { readonly kind: "after"; readonly caller: string }
  | { readonly kind: "body"; readonly body: string }
  | { readonly kind: "within"; readonly ms: number }
  | { readonly kind: "crashes" };

/** Condition that must hold when the scenario reaches it. */
export type Expectation =
  | {
    readonly kind: "ran";
    readonly key: string;
    readonly count: number;
    readonly atMost: boolean;
  }
  | { readonly kind: "answered"; readonly caller: string }
  | { readonly kind: "unanswered"; readonly caller: string }
  | { readonly kind: "tokens"; readonly caller: string }
  | {
    readonly kind: "refused";
    readonly caller: string;
    readonly verdict: "notRun" | "mayHaveRun";
    readonly reason: string | null;
  }
  | { readonly kind: "nothingHeld" }
  | { readonly kind: "crashed"; readonly count: number }
  | { readonly kind: "noNewWork"; readonly engine: string }
  | {
    readonly kind: "manifest";
    readonly id: string;
    readonly outcome: "accepted" | "conflict";
  }
  | { readonly kind: "inForce"; readonly version: number };

/** Statement on one line of a scenario. */
export type Statement =
  | { readonly kind: "title"; readonly title: string }
  /** The scenario must fail when the named mutant disables a mechanism. */
  | { readonly kind: "without"; readonly mutant: string }
  | { readonly kind: "seed"; readonly seed: number }
  | {
    readonly kind: "send";
    readonly caller: string;
    readonly what: "filing" | "summary";
    readonly key: string;
    readonly vm: string;
    readonly options: readonly SendOption[];
  }
  | { readonly kind: "leave"; readonly caller: string }
  | { readonly kind: "dies"; readonly vm: string }
  | { readonly kind: "replaced"; readonly vm: string }
  | { readonly kind: "freezes"; readonly vm: string; readonly ms: number }
  | { readonly kind: "stops"; readonly vm: string }
  | { readonly kind: "cut"; readonly a: string; readonly b: string }
  | { readonly kind: "heal"; readonly a: string; readonly b: string }
  | { readonly kind: "silent"; readonly a: string; readonly b: string }
  | {
    readonly kind: "platform";
    readonly state: "down" | "up" | "slow" | "loses";
    readonly ms?: number;
    readonly count?: number;
  }
  | { readonly kind: "crashes"; readonly engine: string }
  | { readonly kind: "restarts"; readonly engine: string }
  | { readonly kind: "leavesPool"; readonly engine: string }
  | {
    readonly kind: "stall";
    readonly engine: string;
    readonly stalled: boolean;
  }
  | { readonly kind: "reportsStop"; readonly engine: string }
  | {
    readonly kind: "manifest";
    readonly operator: string;
    readonly id: string;
    readonly vm: string;
    readonly scope: string;
    readonly basedOn: number;
  }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "expect"; readonly expectation: Expectation };
