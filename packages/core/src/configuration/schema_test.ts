import { expect, test } from "vitest";
import { buildManifestJsonSchema } from "./schema.ts";

// `npx vitest run schema_test -u` writes the file again after a change of the types.
test("The published JSON Schema is current", async () => {
  const text = `${JSON.stringify(buildManifestJsonSchema(), null, 2)}\n`;
  await expect(text).toMatchFileSnapshot(
    "../../../../docs/operators/manifest.schema.json",
  );
});
