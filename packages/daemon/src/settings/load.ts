/** Reads and checks the settings file. */
import { readFileSync } from "node:fs";
import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import { type Settings, SettingsSchema } from "./schema.ts";

/** One error of a settings file. */
export interface SettingsError {
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** Secrets, read from the files that the settings name. */
export interface Secrets {
  readonly peerSecret: string;
  readonly adminToken: string;
}

/** Reads a settings file and answers all its errors at once. */
export function loadSettings(
  path: string,
): Result<Settings, SettingsError[]> {
  const text = readText(path);
  if (text === null) {
    return err([{ section: "", key: "", message: `Can't read ${path}` }]);
  }
  const parsed = SettingsSchema.safeParse(toPlain(parse(text)));
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap((issue) => {
    const [section = "", key = ""] = issue.path.map(String);
    if (issue.code !== "unrecognized_keys") {
      return [{ section, key, message: issue.message }];
    }
    return issue.keys.map((unknown) => ({
      section: section || unknown,
      key: section ? unknown : "",
      message: section ? "Unknown key" : "Unknown section",
    }));
  }));
}

/** Reads the secrets that the settings name. */
export function loadSecrets(
  settings: Settings,
): Result<Secrets, SettingsError[]> {
  const errors: SettingsError[] = [];
  const read = (key: "peerSecretFile" | "adminTokenFile") => {
    const secret = readText(settings.secrets[key])?.trim();
    if (!secret) {
      errors.push({ section: "secrets", key, message: "Can't read the file" });
    }
    return secret ?? "";
  };
  const secrets: Secrets = {
    peerSecret: read("peerSecretFile"),
    adminToken: read("adminTokenFile"),
  };
  return errors.length > 0 ? err(errors) : ok(secrets);
}

function readText(path: string): string | null {
  try {
    return readFileSync(path, "utf8");
  } catch {
    return null;
  }
}

// The ini library gives objects without a prototype, which checks reject.
function toPlain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
