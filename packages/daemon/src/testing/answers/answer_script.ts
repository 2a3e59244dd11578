/** Answers for the fuzz of the clients: their bytes, and what a reader must make of them. */
import { Buffer } from "node:buffer";
import fc from "fast-check";

/** What makes an answer unreadable. */
const FAULTS = [
  "garbage",
  "status line",
  "header",
  "two lengths",
  "large head",
  "100",
  "101",
  "chunk size",
  "chunk end",
] as const;
/** Faults within a body in chunks. */
const CHUNK_FAULTS: readonly Fault[] = ["chunk size", "chunk end"];
type Fault = (typeof FAULTS)[number];

/** More than a parser takes of a head. */
const LARGE_HEAD_BYTES = 20_000;
const BODILESS = [204, 304];

/** How a server answers one request. */
export interface AnswerPlan {
  readonly interims: readonly string[];
  readonly status: number;
  readonly framing: "length" | "chunked" | "none";
  readonly connection: "close" | "keep-alive" | null;
  /** Sizes of the parts of the body, which are chunks if it is sent in chunks. */
  readonly pieces: readonly number[];
  /** Parts of one byte behind these, whose chunks have no extension. */
  readonly tinyPieces: number;
  readonly extension: string;
  readonly trailers: boolean;
  /** Bytes behind the answer. */
  readonly extraBytes: number;
  readonly fault: Fault | null;
  /** Which part of the bytes is sent, of 1. */
  readonly sentPart: number;
  /** Where the bytes are cut, of 1, and the wait behind each cut. */
  readonly cuts: readonly { readonly at: number; readonly gapMs: number }[];
  readonly begins: "with the request" | "when accepted";
  readonly end: "close" | "half-close" | "reset" | "silence";
  readonly endAfterMs: number;
}

/** An answer's bytes and where its parts are. */
export interface AnswerScript {
  /** What is sent of the answer. */
  readonly bytes: Buffer;
  readonly headEnd: number;
  /** How many bytes make the answer complete; infinite if only its connection's end does. */
  readonly completeAt: number;
  /** Where what can't be read begins, and by which byte that is certain. */
  readonly brokenFrom: number;
  readonly brokenAt: number;
  /** The part of the body that is sent before what can't be read. */
  readonly body: Buffer;
}

/** Generates plans; `bodyOf` gives their bodies. */
export function answerPlans(): fc.Arbitrary<AnswerPlan> {
  return fc.record({
    interims: fc.array(
      fc.constantFrom("102 Processing", "103 Early Hints"),
      { maxLength: 2 },
    ),
    status: fc.constantFrom(200, 200, 200, 200, 404, 500, 204, 304),
    framing: fc.constantFrom("length", "chunked", "none"),
    connection: fc.constantFrom("close", "keep-alive", null),
    pieces: fc.array(
      fc.oneof(
        { weight: 6, arbitrary: fc.integer({ min: 1, max: 20 }) },
        { weight: 4, arbitrary: fc.integer({ min: 1, max: 5_000 }) },
        { weight: 1, arbitrary: fc.integer({ min: 10_000, max: 120_000 }) },
      ),
      { maxLength: 8 },
    ),
    tinyPieces: fc.oneof(
      { weight: 9, arbitrary: fc.constant(0) },
      // More than a client reads in a turn.
      { weight: 1, arbitrary: fc.integer({ min: 10_000, max: 12_000 }) },
    ),
    extension: fc.constantFrom("", "", ";a", ';name="v;1"'),
    trailers: fc.boolean(),
    extraBytes: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 200 })),
    fault: fc.oneof(
      { weight: 4, arbitrary: fc.constant(null) },
      { weight: 1, arbitrary: fc.constantFrom(...FAULTS) },
    ),
    sentPart: fc.oneof(
      fc.constant(1),
      fc.double({ min: 0, max: 1, noNaN: true }),
    ),
    cuts: fc.array(
      fc.record({
        at: fc.double({ min: 0, max: 1, noNaN: true }),
        gapMs: fc.constantFrom(0, 0, 0, 1, 4),
      }),
      { maxLength: 12 },
    ),
    begins: fc.oneof(
      { weight: 12, arbitrary: fc.constant("with the request" as const) },
      { weight: 1, arbitrary: fc.constant("when accepted" as const) },
    ),
    end: fc.constantFrom("close", "half-close", "reset", "reset", "silence"),
    endAfterMs: fc.constantFrom(0, 0, 1, 8),
  });
}

/** Returns a body of the plan's size whose bytes show their place. */
export function bodyOf(plan: AnswerPlan): Buffer {
  const sizeBytes = piecesOf(plan).reduce((sum, piece) => sum + piece, 0);
  return Buffer.from(Uint8Array.from(
    { length: sizeBytes },
    (_, index) => 32 + (index + Math.floor(index / 95)) % 95,
  ));
}

function piecesOf({ pieces, tinyPieces }: AnswerPlan): number[] {
  return [...pieces, ...Array<number>(tinyPieces).fill(1)];
}

/** Builds the bytes of a plan with a body. */
export function writeAnswer(plan: AnswerPlan, body: Buffer): AnswerScript {
  return new Writer(plan, body).write();
}

class Writer {
  #plan: AnswerPlan;
  #body: Buffer;
  #parts: Buffer[] = [];
  #sizeBytes = 0;
  #bodyParts: { readonly at: number; readonly bytes: Buffer }[] = [];
  #brokenFrom = Infinity;
  #brokenAt = Infinity;

  constructor(plan: AnswerPlan, body: Buffer) {
    this.#plan = plan;
    this.#body = BODILESS.includes(plan.status) ? Buffer.alloc(0) : body;
  }

  write(): AnswerScript {
    const { framing, status, extraBytes, sentPart } = this.#plan;
    const isBodiless = BODILESS.includes(status);
    this.#writeHead();
    const headEnd = this.#sizeBytes;
    if (!isBodiless && framing === "chunked") this.#writeChunks();
    else this.#writePieces();
    const endsWithConnection = !isBodiless && framing === "none";
    const completeAt = endsWithConnection ? Infinity : this.#sizeBytes;
    if (!endsWithConnection) this.#add("+".repeat(extraBytes));
    const bytes = Buffer.concat(this.#parts);
    const sent = bytes.subarray(0, Math.round(sentPart * bytes.length));
    const readableBytes = Math.min(sent.length, this.#brokenFrom);
    return {
      bytes: sent,
      headEnd,
      completeAt,
      brokenFrom: this.#brokenFrom,
      brokenAt: this.#brokenAt,
      body: Buffer.concat(
        this.#bodyParts.map((part) =>
          part.bytes.subarray(0, Math.max(0, readableBytes - part.at))
        ),
      ),
    };
  }

  #writeHead(): void {
    const { interims, status, framing, connection, fault } = this.#plan;
    if (fault === "garbage") this.#break("\0\x01 no answer\r\n\r\n");
    for (const interim of interims) this.#add(`HTTP/1.1 ${interim}\r\n\r\n`);
    if (fault === "100") this.#break("HTTP/1.1 100 Continue\r\n\r\n");
    if (fault === "101") {
      this.#break(
        "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
      );
    }
    if (fault === "status line") this.#break("HTTP/1.1 2x0 OK\r\n");
    else this.#add(`HTTP/1.1 ${status} OK\r\n`);
    if (connection) this.#add(`Connection: ${connection}\r\n`);
    if (fault === "header") this.#break("Bad Name\x01: v\r\n");
    if (fault === "two lengths") {
      this.#break("Content-Length: 7\r\nContent-Length: 8\r\n");
    }
    if (fault === "large head") {
      this.#break(`X-Large: ${"x".repeat(LARGE_HEAD_BYTES)}\r\n`);
    }
    if (!BODILESS.includes(status)) {
      if (framing === "length") {
        this.#add(`Content-Length: ${this.#body.length}\r\n`);
      }
      if (framing === "chunked") this.#add("Transfer-Encoding: chunked\r\n");
    }
    this.#add("\r\n");
  }

  #writePieces(): void {
    if (this.#body.length > 0) this.#addBody(this.#body);
  }

  #writeChunks(): void {
    const { extension, trailers, fault } = this.#plan;
    const pieces = piecesOf(this.#plan);
    const breaksAt = CHUNK_FAULTS.includes(fault!)
      ? Math.floor(pieces.length / 2)
      : -1;
    let begin = 0;
    pieces.forEach((piece, index) => {
      // The framing of an answer may only be some times as large as its body.
      const isTiny = index >= this.#plan.pieces.length;
      if (index === breaksAt && fault === "chunk size") this.#break("zz\r\n");
      this.#add(`${piece.toString(16)}${isTiny ? "" : extension}\r\n`);
      this.#addBody(this.#body.subarray(begin, begin + piece));
      begin += piece;
      if (index === breaksAt && fault === "chunk end") this.#break("no end");
      this.#add("\r\n");
    });
    if (pieces.length === 0 && breaksAt >= 0) this.#break("zz\r\n");
    this.#add(`0${extension}\r\n${trailers ? "X-Trailer: t\r\n" : ""}\r\n`);
  }

  #add(text: string): void {
    this.#parts.push(Buffer.from(text, "latin1"));
    this.#sizeBytes += text.length;
  }

  #addBody(bytes: Buffer): void {
    this.#bodyParts.push({ at: this.#sizeBytes, bytes });
    this.#parts.push(bytes);
    this.#sizeBytes += bytes.length;
  }

  #break(text: string): void {
    this.#brokenFrom = Math.min(this.#brokenFrom, this.#sizeBytes);
    this.#add(text);
    this.#brokenAt = Math.min(this.#brokenAt, this.#sizeBytes);
  }
}
