/** The manifest's published JSON Schema. */
import { z } from "zod";
import { ManifestSchema } from "./types.ts";

/** Builds the JSON Schema of what a pipeline submits. */
export function buildManifestJsonSchema(): unknown {
  return {
    ...z.toJSONSchema(ManifestSchema, { io: "input" }),
    title: "teaselvalve manifest",
  };
}
