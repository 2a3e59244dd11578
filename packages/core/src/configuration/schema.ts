/** The published JSON Schema of manifests. */
import { z } from "zod";
import { ManifestSchema } from "./types.ts";

/** Builds the JSON Schema of a manifest as a client submits it. */
export function buildManifestJsonSchema(): unknown {
  return {
    ...z.toJSONSchema(ManifestSchema, { io: "input" }),
    title: "teaselvalve manifest",
  };
}
