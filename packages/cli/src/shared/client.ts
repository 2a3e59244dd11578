/** Calls to the administration interface. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { option, optional, string } from "cmd-ts";
import { request } from "undici";

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
};

/** How a command reaches a VM. */
export interface Connection {
  readonly vm: string;
  readonly tokenFile: string | undefined;
}

/** An answer of the administration interface. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Exit codes of the tool. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
} as const;

/** Calls the administration interface of a VM. */
export async function callAdmin(
  connection: Connection,
  path: string,
  body?: unknown,
): Promise<AdminAnswer> {
  const token = connection.tokenFile
    ? readFileSync(connection.tokenFile, "utf8").trim()
    : "";
  const answer = await request(`http://${connection.vm}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: { authorization: `Bearer ${token}` },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return { status: answer.statusCode, body: await answer.body.json() };
}

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}
