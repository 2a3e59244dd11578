/** Reads and checks the settings file and the files that it names. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type Settings, SettingsSchema } from "./schema.ts";

/** One error of a settings file. */
export interface SettingsError {
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** Writes an error for people, with its place where it has one. */
export function describeSettingsError(error: SettingsError): string {
  const { section, key, message } = error;
  const place = [section && `[${section}]`, key].filter(Boolean).join(" ");
  return place ? `${place}: ${message}` : message;
}

/** Secrets, read from the files that the settings name. */
export interface Secrets {
  readonly peerSecret: string;
  readonly adminToken: string;
}

/** Certificates and keys of one interface, in PEM. */
export interface TlsCredentials {
  readonly certificate: string;
  readonly key: string;
  readonly authorities: string | undefined;
  readonly requireClientCertificate: boolean;
}

/** The interfaces that the daemon listens on. */
export const INTERFACES = ["callers", "admin", "peers"] as const;

/** One of the interfaces that the daemon listens on. */
export type InterfaceName = (typeof INTERFACES)[number];

/** Checked settings with what their files hold. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secrets: Secrets;
  /** Absent for interfaces that are plain. */
  readonly tls: Readonly<Partial<Record<InterfaceName, TlsCredentials>>>;
}

/** Parses settings text and checks it against a schema; answers all errors at once. */
export function parseSettings<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, SettingsError[]> {
  const parsed = schema.safeParse(toPlain(parse(text)), {
    error: describeMissing,
  });
  return parsed.success
    ? ok(parsed.data)
    : err(parsed.error.issues.flatMap(toErrors));
}

type Sections = Record<string, Record<string, unknown>>;

const MIN_SECRET_LENGTH = 16;

/** Reads a settings file and answers all its errors at once. */
export function loadSettings(
  path: string,
): Result<LoadedSettings, SettingsError[]> {
  const text = readText(path);
  if (text === null) {
    return err([{ section: "", key: "", message: `Can't read ${path}` }]);
  }
  const raw = toPlain(parse(text));
  const parsed = SettingsSchema.safeParse(raw, { error: describeMissing });
  const sections = raw as Sections;
  const files = new NamedFiles(sections);
  const secrets: Secrets = {
    peerSecret: files.readSecret("peerSecretFile"),
    adminToken: files.readSecret("adminTokenFile"),
  };
  const tls = Object.fromEntries(
    INTERFACES.flatMap((name) => {
      const found = files.readTls(name);
      return found ? [[name, found]] : [];
    }),
  );
  const errors = [
    ...(parsed.success ? [] : parsed.error.issues.flatMap(toErrors)),
    ...checkDistinct(sections.listen),
    ...files.errors,
  ];
  return parsed.success && errors.length === 0
    ? ok({ settings: parsed.data, secrets, tls })
    : err(errors);
}

/** Reads the files that settings name, and collects what is wrong with them. */
class NamedFiles {
  readonly errors: SettingsError[] = [];
  #sections: Sections;

  constructor(sections: Sections) {
    this.#sections = sections;
  }

  readSecret(key: keyof Settings["secrets"]): string {
    const path = this.#sections.secrets?.[key];
    // A name that is missing or no text is reported by the schema.
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
    const keys = this.#sections.tls?.[name] as Record<string, unknown>;
    if (typeof keys !== "object") return undefined;
    const read = (key: string) => {
      const path = keys[key];
      if (typeof path !== "string" || path === "") return undefined;
      return this.#read(section, { key, path });
    };
    const certificate = read("certificateFile");
    const key = read("keyFile");
    const authorities = read("caFile");
    const requireClientCertificate = keys.requireClientCertificate === true;
    if (requireClientCertificate && keys.caFile === undefined) {
      const message = "Needed where client certificates are required";
      this.errors.push({ section, key: "caFile", message });
    }
    if (certificate === undefined || key === undefined) return undefined;
    try {
      createSecureContext({ cert: certificate, key, ca: authorities });
    } catch {
      const message = "The certificate, key and authorities don't fit together";
      this.errors.push({ section, key: "certificateFile", message });
    }
    return { certificate, key, authorities, requireClientCertificate };
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
  // Keys lie one level deeper in the sections of TLS.
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

function describeMissing(issue: z.core.$ZodRawIssue): string | undefined {
  if (issue.input === undefined) return "Missing";
  return issue.code === "invalid_type"
    ? `Expected ${issue.expected === "object" ? "a section" : "a text"}`
    : undefined;
}

function checkDistinct(
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
      message: `The same address as ${other}`,
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

// The ini library gives objects without a prototype, which checks reject.
function toPlain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
