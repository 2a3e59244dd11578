/** Ends responses whose rest won't come. */
import type { Exchange } from "./exchange.ts";
import { pacedOf } from "./paced_connection.ts";

/**
 * Ends a response so that it doesn't look complete. Without chunks or a length, as for
 * callers of HTTP/1.0, its end is that of its connection, which is therefore reset.
 */
export function truncateResponse({ incoming, response }: Exchange): void {
  const endsWithConnection = response.headersSent &&
    !response.chunkedEncoding && !response.hasHeader("content-length");
  if (endsWithConnection) pacedOf(incoming.socket).reset();
  response.destroy();
}
