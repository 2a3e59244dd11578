import { expect, test } from "vitest";
import { buildManifestJsonSchema } from "./schema.ts";

// After a change of the manifest types, `npx vitest run schema_test -u` updates the file.
test("The published JSON Schema matches the manifest types", async () => {
  const text = `${JSON.stringify(buildManifestJsonSchema(), null, 2)}\n`;
  await expect(text).toMatchFileSnapshot(
    "../../../../docs/operators/manifest.schema.json",
  );
});
