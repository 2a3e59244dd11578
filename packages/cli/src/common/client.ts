/** HTTP client of the administration interface. */
import { readFileSync } from "node:fs";
import { option, optional, string } from "cmd-ts";
import { Agent, type Dispatcher, request } from "undici";
import { CliError, EXIT_CODES, type ExitCode } from "./cli_error.ts";

export { EXIT_CODES } from "./cli_error.ts";

/** Options of every command that connects to a VM. */
export const connectionArgs = {
  vm: option({
    long: "vm",
    type: string,
    env: "TEASELVALVE_VM",
    description: "Administration address of any VM, host:port",
  }),
  tokenFile: option({
    long: "token-file",
    type: optional(string),
    env: "TEASELVALVE_TOKEN_FILE",
    description: "File that holds the administration token",
  }),
  caFile: option({
    long: "ca-file",
    type: optional(string),
    env: "TEASELVALVE_CA_FILE",
    description:
      "Connects over TLS and trusts the certificate authority in this file",
  }),
  certificateFile: option({
    long: "certificate-file",
    type: optional(string),
    env: "TEASELVALVE_CERTIFICATE_FILE",
    description: "The client certificate, if the VM requires one",
  }),
  keyFile: option({
    long: "key-file",
    type: optional(string),
    env: "TEASELVALVE_KEY_FILE",
    description: "The private key of the client certificate",
  }),
};

/** Address and credentials with which a command connects to a VM. */
export interface Connection {
  readonly vm: string;
  readonly tokenFile: string | undefined;
  readonly caFile?: string | undefined;
  readonly certificateFile?: string | undefined;
  readonly keyFile?: string | undefined;
}

/** A response of the administration interface, with any status. */
export interface AdminResponse {
  readonly status: number;
  readonly body: unknown;
}

const EXIT_CODE_BY_STATUS: Readonly<Record<number, ExitCode>> = {
  401: EXIT_CODES.denied,
  403: EXIT_CODES.denied,
  404: EXIT_CODES.notFound,
  409: EXIT_CODES.conflict,
};
const CALL_TIMEOUT_MS = 30_000;

/**
 * Sends a request to the administration interface of a VM: `POST` with a body,
 * else `GET`. Returns the response whatever its status. Throws {@link CliError}
 * if no JSON response arrives in time or if a file of the connection can't be
 * read.
 */
export async function callAdmin(
  connection: Connection,
  path: string,
  body?: unknown,
): Promise<AdminResponse> {
  const headers = { authorization: `Bearer ${readToken(connection)}` };
  const scheme = connection.caFile ? "https" : "http";
  const dispatcher = createAgent(connection);
  try {
    const response = await request(`${scheme}://${connection.vm}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
      dispatcher,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  } catch (error) {
    throw new CliError(
      `No answer from ${connection.vm}: ${describeError(error)}`,
      EXIT_CODES.unreachable,
    );
  } finally {
    await dispatcher.destroy();
  }
}

/** Sends a `GET` and returns the body. Throws {@link CliError} on an error status. */
export async function queryAdmin<T>(
  connection: Connection,
  path: string,
): Promise<T> {
  return unwrapBody<T>(await callAdmin(connection, path));
}

/** Sends a `POST` and returns the body. Throws {@link CliError} on an error status. */
export async function sendAdminCommand<T>(
  connection: Connection,
  path: string,
  body: unknown = {},
): Promise<T> {
  return unwrapBody<T>(await callAdmin(connection, path, body));
}

/** Reads a file named on the command line. Throws {@link CliError} if it can't. */
export function readInputFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    throw new CliError(`Can't read ${path}`, EXIT_CODES.usage);
  }
}

function unwrapBody<T>({ status, body }: AdminResponse): T {
  if (status < 300) return body as T;
  const { title, detail } = body as { title?: string; detail?: string };
  const message = [title ?? `Status ${status}`, detail]
    .filter(Boolean).join(": ");
  throw new CliError(
    `Refused: ${message}`,
    EXIT_CODE_BY_STATUS[status] ?? EXIT_CODES.failed,
  );
}

function readToken(connection: Connection): string {
  return connection.tokenFile ? readInputFile(connection.tokenFile).trim() : "";
}

function createAgent(connection: Connection): Dispatcher {
  const read = (path: string | undefined) =>
    path === undefined ? undefined : readInputFile(path);
  return new Agent({
    connect: {
      ca: read(connection.caFile),
      cert: read(connection.certificateFile),
      key: read(connection.keyFile),
    },
  });
}

function describeError(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return code ?? message ?? String(error);
}
