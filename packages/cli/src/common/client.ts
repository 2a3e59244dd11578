/** Calls to the administration interface. */
import { readFileSync } from "node:fs";
import { option, optional, string } from "cmd-ts";
import { Agent, type Dispatcher, request } from "undici";
import { CliError, EXIT_CODES, type ExitCode } from "./cli_error.ts";

export { EXIT_CODES } from "./cli_error.ts";

/** Options that every command takes. */
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
    description: "Connects by TLS and trusts this certificate authority",
  }),
  certificateFile: option({
    long: "certificate-file",
    type: optional(string),
    env: "TEASELVALVE_CERTIFICATE_FILE",
    description: "The client's certificate, where the VM requires one",
  }),
  keyFile: option({
    long: "key-file",
    type: optional(string),
    env: "TEASELVALVE_KEY_FILE",
    description: "The key of the client's certificate",
  }),
};

/** How a command reaches a VM. */
export interface Connection {
  readonly vm: string;
  readonly tokenFile: string | undefined;
  readonly caFile?: string | undefined;
  readonly certificateFile?: string | undefined;
  readonly keyFile?: string | undefined;
}

/** An answer of the administration interface. */
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
 * Calls the administration interface of a VM: `POST` with a body, else `GET`.
 * Any status is an answer. Throws {@link CliError} when there is none.
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
    const answer = await request(`${scheme}://${connection.vm}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
      dispatcher,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return { status: answer.statusCode, body: await answer.body.json() };
  } catch (error) {
    throw new CliError(
      `No answer from ${connection.vm}: ${describeError(error)}`,
      EXIT_CODES.unreachable,
    );
  } finally {
    await dispatcher.destroy();
  }
}

/** Reads from the administration interface. Throws {@link CliError} on a refusal. */
export async function queryAdmin<T>(
  connection: Connection,
  path: string,
): Promise<T> {
  return unwrapBody<T>(await callAdmin(connection, path));
}

/** Sends a command. Throws {@link CliError} on a refusal. */
export async function sendAdminCommand<T>(
  connection: Connection,
  path: string,
  body: unknown = {},
): Promise<T> {
  return unwrapBody<T>(await callAdmin(connection, path, body));
}

/** Reads a file that the command line names. Throws {@link CliError}. */
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
