/**
 * Headers of the requests that VMs send on to each other: the request carries the
 * hop, the response says whether an endpoint or the VM itself gave the answer.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { asId, type Refusal, type VmId } from "@teaselvalve/core";
import type {
  AnswerHead,
  ForwardedKey,
  ForwardedSend,
  Hop,
  RoutedRequest,
  StreamOrigin,
} from "@teaselvalve/core/routing";
import { Result } from "neverthrow";
import { z } from "zod";
import { tryParseJson } from "../http/json.ts";
import type { CallerFields } from "./protocol.ts";

/** Name of the header, in requests and responses. */
export const HOP_HEADER = "teaselvalve-hop";

const OriginSchema = z.object({ service: z.string(), version: z.string() });

const HopSchema = z.object({
  from: z.string(),
  runs: z.number().int().nonnegative(),
  origin: OriginSchema.nullable(),
  timeLeftMs: z.number(),
  lastEventId: z.string().nullable(),
  resumes: z.string().nullable(),
  /** These are absent if the request has no workspace, or the VM has the previous build. */
  workspace: z.string().optional(),
  keyDigest: z.string().regex(/^[0-9a-f]{64}$/).optional(),
  /** Time since the VM received the request. */
  receivedAgoMs: z.number().nonnegative().default(0),
  tableVersion: z.number().int().nonnegative().optional().catch(undefined),
});

/** The hop of a request, and the fields in which it differs from the caller's request. */
export interface ReceivedHop {
  readonly hop: Hop;
  /** The workspace and key that the other VM has checked. */
  readonly forwardedKey?: ForwardedKey;
  readonly fields: Pick<
    CallerFields,
    "timeoutMs" | "lastEventId" | "resumes"
  >;
}

/** Whether another VM sent the request on. */
export function isForwarded(headers: IncomingHttpHeaders): boolean {
  return headers[HOP_HEADER] !== undefined;
}

/** Builds the header of a request that is sent on. */
export function formatHop(
  { hop, timeLeftMs, lastEventId, resumes, request }:
    & Pick<ForwardedSend, "hop" | "timeLeftMs" | "lastEventId" | "resumes">
    & {
      request?: Pick<
        RoutedRequest,
        "workspace" | "keyDigest" | "receivedAtMs"
      >;
    },
): string {
  const { workspace, keyDigest } = request ?? {};
  const receivedAgoMs = request && workspace !== undefined
    ? performance.now() - request.receivedAtMs
    : undefined;
  return formatValue({
    ...hop,
    timeLeftMs,
    lastEventId,
    resumes,
    workspace,
    keyDigest,
    receivedAgoMs,
  });
}

/** Reads the hop of a request; null if there is none or it is malformed. */
export function readHop(headers: IncomingHttpHeaders): ReceivedHop | null {
  const parsed = HopSchema.safeParse(readValue(headers));
  if (!parsed.success) return null;
  const { from, runs, origin, timeLeftMs, lastEventId, resumes } = parsed.data;
  const { workspace, keyDigest, receivedAgoMs, tableVersion } = parsed.data;
  return {
    ...(workspace !== undefined && keyDigest !== undefined
      ? {
        forwardedKey: {
          workspace: asId(workspace),
          keyDigest: asId(keyDigest),
          receivedAgoMs,
        },
      }
      : {}),
    hop: {
      from: asId<VmId>(from),
      runs,
      origin: toOrigin(origin),
      ...(tableVersion === undefined ? {} : { tableVersion }),
    },
    fields: { timeoutMs: Math.max(0, timeLeftMs), lastEventId, resumes },
  };
}

/** Removes the hop from raw headers, which alternate names and values. */
export function withoutHop(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_text, index) =>
    rawHeaders[index - index % 2]!.toLowerCase() !== HOP_HEADER
  );
}

/** What a VM says about an answer besides the answer itself. */
export interface AnswerMark extends Pick<AnswerHead, "origin" | "endpoint"> {
  /** Version of the routing table under which the request was served. */
  readonly tableVersion?: number;
}

/** Marks a response as the answer of an endpoint, if that is known already. */
export function markAnswer(
  response: ServerResponse,
  { origin, endpoint, tableVersion }: AnswerMark = {},
): void {
  response.setHeader(
    HOP_HEADER,
    formatValue({ kind: "answer", origin, endpoint, tableVersion }),
  );
}

/** Marks a response as a refusal by this VM. */
export function markRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent) return;
  const { kind, reason } = refusal;
  const retryAfterMs = kind === "notRun" ? refusal.retryAfterMs : undefined;
  response.setHeader(
    HOP_HEADER,
    formatValue({ kind, reason, retryAfterMs }),
  );
}

/** Who answered a request that was sent on: an endpoint, or the VM, with a refusal. */
export type Mark =
  | { readonly kind: "answer" } & AnswerMark
  | Refusal;

/** Reads the mark of a response; undefined if it isn't known who answered. */
export function readMark(headers: IncomingHttpHeaders): Mark | undefined {
  return readValue<Mark>(headers);
}

// Headers can't carry all characters that names of services and versions may have.
function formatValue(value: unknown): string {
  return encodeURIComponent(JSON.stringify(value));
}

function readValue<T>(headers: IncomingHttpHeaders): T | undefined {
  const value = String(headers[HOP_HEADER] ?? "");
  const json = Result.fromThrowable(decodeURIComponent)(value);
  return json.isOk() ? tryParseJson<T>(json.value) : undefined;
}

function toOrigin(
  origin: z.infer<typeof OriginSchema> | null,
): StreamOrigin | null {
  return origin &&
    { service: asId(origin.service), version: asId(origin.version) };
}
