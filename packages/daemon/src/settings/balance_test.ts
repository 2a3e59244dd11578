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

test("Load balancing is on by default, can be switched off, and another value is named", () => {
  expect(parseBalance()._unsafeUnwrap().balance.enabled).toBe(true);
  const off = parseBalance({ enabled: "false" });
  expect(off._unsafeUnwrap().balance.enabled).toBe(false);
  const [error] = parseBalance({ enabled: "sometimes" })._unsafeUnwrapErr();
  expect(error).toMatchObject({ section: "balance", key: "enabled" });
});

test("The operators' documentation names the setting", () => {
  const page = readFileSync("docs/operators/settings.md", "utf8");
  expect(page).toContain("## [balance]");
});
