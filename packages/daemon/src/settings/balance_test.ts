import { readFileSync } from "node:fs";
import { stringify } from "ini";
import { expect, test } from "vitest";
import { parseSettings } from "./load.ts";
import { RoutingSettingsSchema } from "./schema.ts";

const ADDRESS = "127.0.0.1:7000";
const SECTIONS = {
  vm: { id: "a", dataCentre: "helsinki-a", region: "suomi" },
  listen: {
    callers: ADDRESS,
    readiness: ADDRESS,
    directory: ADDRESS,
    peers: ADDRESS,
    metrics: ADDRESS,
  },
  platform: { address: ADDRESS },
  retries: { share: 0.2, slack: 50 },
  stop: { graceS: 8 },
  directory: { ttlMaxS: 5 },
};

function parseBalance(balance?: Record<string, string>) {
  const sections = balance ? { ...SECTIONS, balance } : SECTIONS;
  return parseSettings(stringify(sections), RoutingSettingsSchema);
}

test.each([["engines", true], ["calls", false]] as const)(
  "The balancing of %s is %s by default, can be changed, and another value is named",
  (key, isDefault) => {
    expect(parseBalance()._unsafeUnwrap().balance[key]).toBe(isDefault);
    const changed = parseBalance({ [key]: String(!isDefault) });
    expect(changed._unsafeUnwrap().balance[key]).toBe(!isDefault);
    const [error] = parseBalance({ [key]: "sometimes" })._unsafeUnwrapErr();
    expect(error).toMatchObject({ section: "balance", key });
  },
);

test("The operators' documentation names the setting", () => {
  const page = readFileSync("docs/operators/settings.md", "utf8");
  expect(page).toContain("## [balance]");
});
