/** Checks whether a workspace may use a model. */
import { notRun, type Refusal } from "@teaselvalve/core";
import type { CallerContext } from "./context.ts";

/** Returns a refusal if the workspace may not use the model or no endpoint serves it. */
export function checkModel(
  model: string,
  { vm, principal }: CallerContext,
): Refusal | null {
  const allowed: readonly string[] | undefined = principal.workspace.models;
  if (allowed && !allowed.includes(model)) return notRun("model-not-allowed");
  const endpoints = vm.configuration.current()?.bodies.endpoints ?? [];
  const served = endpoints.some((endpoint) => endpoint.model === model);
  return served ? null : notRun("unknown-model");
}
