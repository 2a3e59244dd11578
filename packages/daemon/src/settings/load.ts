/** Reads and validates the settings file and the files it refers to. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type Settings, SettingsSchema } from "./schema.ts";

/** An error in a settings file; section and key are empty where they do not apply. */
export interface SettingsError {
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** Formats an error as a message, prefixed with its section and key if it has any. */
export function describeSettingsError(error: SettingsError): string {
  const { section, key, message } = error;
  const place = [section && `[${section}]`, key].filter(Boolean).join(" ");
  return place ? `${place}: ${message}` : message;
}

/** Secrets, read from the files in the `secrets` section. */
export interface Secrets {
  readonly peerSecret: string;
  readonly adminToken: string;
}

/** Certificate chain, private key and certificate authorities of one interface, in PEM. */
export interface TlsCredentials {
  readonly certificate: string;
  readonly key: string;
  readonly authorities: string | undefined;
  readonly requireClientCertificate: boolean;
}

/** Names of the HTTP interfaces that the daemon listens on. */
export const INTERFACES = ["callers", "admin", "peers"] as const;

/** One of {@link INTERFACES}. */
export type InterfaceName = (typeof INTERFACES)[number];

/** Validated settings and the contents of the files they refer to. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secrets: Secrets;
  /** TLS credentials by interface; an interface without an entry uses plain HTTP. */
  readonly tls: Readonly<Partial<Record<InterfaceName, TlsCredentials>>>;
}

/** Parses INI text and validates it against a schema; returns all errors at once. */
export function parseSettings<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, SettingsError[]> {
  const parsed = schema.safeParse(toPlainObject(parse(text)), {
    error: describeTypeError,
  });
  return parsed.success
    ? ok(parsed.data)
    : err(parsed.error.issues.flatMap(toErrors));
}

type Sections = Record<string, Record<string, unknown>>;

const MIN_SECRET_LENGTH = 16;

/** Reads and validates a settings file; returns all errors at once. */
export function loadSettings(
  path: string,
): Result<LoadedSettings, SettingsError[]> {
  const text = readText(path);
  if (text === null) {
    return err([{ section: "", key: "", message: `Can't read ${path}` }]);
  }
  const raw = toPlainObject(parse(text));
  const parsed = SettingsSchema.safeParse(raw, { error: describeTypeError });
  const sections = raw as Sections;
  const files = new ReferencedFiles(sections);
  const secrets: Secrets = {
    peerSecret: files.readSecret("peerSecretFile"),
    adminToken: files.readSecret("adminTokenFile"),
  };
  const tls = Object.fromEntries(
    INTERFACES.flatMap((name) => {
      const credentials = files.readTls(name);
      return credentials ? [[name, credentials]] : [];
    }),
  );
  const errors = [
    ...(parsed.success ? [] : parsed.error.issues.flatMap(toErrors)),
    ...checkDistinctAddresses(sections.listen),
    ...files.errors,
  ];
  return parsed.success && errors.length === 0
    ? ok({ settings: parsed.data, secrets, tls })
    : err(errors);
}

/** Reads the files that the settings refer to, and collects their errors. */
class ReferencedFiles {
  readonly errors: SettingsError[] = [];
  #sections: Sections;

  constructor(sections: Sections) {
    this.#sections = sections;
  }

  readSecret(key: keyof Settings["secrets"]): string {
    const path = this.#sections.secrets?.[key];
    // The schema reports a path that is missing, empty or not a string.
    if (typeof path !== "string" || path === "") return "";
    const secret = this.#read("secrets", { key, path })?.trim();
    if (secret === undefined) return "";
    if (secret.length < MIN_SECRET_LENGTH) {
      const message =
        `Expected at least ${MIN_SECRET_LENGTH} characters in the file`;
      this.errors.push({ section: "secrets", key, message });
    }
    return secret;
  }

  readTls(name: InterfaceName): TlsCredentials | undefined {
    const section = `tls.${name}`;
    const entries = this.#sections.tls?.[name] as Record<string, unknown>;
    if (typeof entries !== "object") return undefined;
    const read = (key: string) => {
      const path = entries[key];
      if (typeof path !== "string" || path === "") return undefined;
      return this.#read(section, { key, path });
    };
    const certificate = read("certificateFile");
    const privateKey = read("keyFile");
    const authorities = read("caFile");
    const requireClientCertificate = entries.requireClientCertificate === true;
    if (requireClientCertificate && entries.caFile === undefined) {
      const message = "Required when requireClientCertificate is true";
      this.errors.push({ section, key: "caFile", message });
    }
    if (certificate === undefined || privateKey === undefined) return undefined;
    try {
      createSecureContext({
        cert: certificate,
        key: privateKey,
        ca: authorities,
      });
    } catch {
      const message =
        "The certificate, key or certificate authorities are invalid or don't match";
      this.errors.push({ section, key: "certificateFile", message });
    }
    return {
      certificate,
      key: privateKey,
      authorities,
      requireClientCertificate,
    };
  }

  #read(
    section: string,
    options: { key: string; path: string },
  ): string | undefined {
    const { key, path } = options;
    const text = readText(path);
    if (text !== null) return text;
    this.errors.push({ section, key, message: `Can't read ${path}` });
    return undefined;
  }
}

function toErrors(issue: z.core.$ZodIssue): SettingsError[] {
  const path = issue.path.map(String);
  // TLS sections are nested: their keys are one level deeper.
  const depth = path[0] === "tls" ? 2 : 1;
  const section = path.slice(0, depth).join(".");
  const key = path.slice(depth).join(".");
  if (issue.code !== "unrecognized_keys") {
    return [{ section, key, message: issue.message }];
  }
  return issue.keys.map((unknown) =>
    path.length < depth
      ? {
        section: [section, unknown].filter(Boolean).join("."),
        key: "",
        message: "Unknown section or key",
      }
      : { section, key: unknown, message: "Unknown key" }
  );
}

function describeTypeError(issue: z.core.$ZodRawIssue): string | undefined {
  if (issue.input === undefined) return "Missing";
  return issue.code === "invalid_type"
    ? `Expected ${issue.expected === "object" ? "a section" : "a string"}`
    : undefined;
}

function checkDistinctAddresses(
  listen: Record<string, unknown> | undefined,
): SettingsError[] {
  const seen = new Map<unknown, string>();
  return INTERFACES.flatMap((key) => {
    const address = listen?.[key];
    if (address === undefined) return [];
    const other = seen.get(address);
    seen.set(address, key);
    return other === undefined ? [] : [{
      section: "listen",
      key,
      message: `Same address as ${other}`,
    }];
  });
}

function readText(path: string): string | null {
  try {
    return readFileSync(path, "utf8");
  } catch {
    return null;
  }
}

// The ini library returns objects without a prototype, which the schema rejects.
function toPlainObject(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
