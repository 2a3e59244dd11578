/** Reads the answers of endpoints to calls that a VM makes itself, not for a caller. */
import { err, ok, type Result } from "neverthrow";
import type { Observer } from "@teaselvalve/core";
import {
  type EndpointEntry,
  type IncarnationFields,
  isFromIncarnation,
  type SendFailure,
} from "@teaselvalve/core/routing";
import { logConnectionFault } from "../http/connection_faults.ts";
import type { BufferedAnswer } from "./answers.ts";
import type { EndpointProtocol } from "./protocol.ts";

const SUCCESS = 200;

/** Options of {@link parseOwnAnswer}. */
export interface ParseOwnAnswerOptions<T> {
  protocol: EndpointProtocol;
  observer: Observer;
  /** The entry by which the call was sent. */
  endpoint: EndpointEntry;
  /** Returns null if the text is malformed. */
  read: (text: string, fields: IncarnationFields) => T | null;
  /** For the log and failures. */
  description: string;
}

/**
 * Parses an answer. Fails with `restarted` if it states another start time than the entry,
 * and with `lost` if it can't be read.
 */
export function parseOwnAnswer<T>(
  { status, headers, body }: BufferedAnswer,
  options: ParseOwnAnswerOptions<T>,
): Result<T, SendFailure> {
  const { protocol, observer, endpoint, read, description } = options;
  const fields = protocol.readAnswerHeaders(status, headers);
  if (fields.misdirected) return err({ kind: "misdirected" });
  if (status !== SUCCESS) return err({ kind: "notExecuted", status });
  const unreadable = {
    kind: "lost",
    detail: `Unreadable ${description}`,
  } as const;
  try {
    const text = body.toString();
    const bornAtMs = protocol.readStartTime(text);
    if (bornAtMs !== null && !isFromIncarnation(endpoint, bornAtMs)) {
      return err({ kind: "restarted", bornAtMs });
    }
    const parsed = read(text, { bornAtMs });
    return parsed ? ok(parsed) : err(unreadable);
  } catch (error) {
    logConnectionFault(observer, { error, thrownIn: "parse" }, {
      call: description,
      phase: "ended",
    });
    return err(unreadable);
  }
}
