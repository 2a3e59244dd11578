/** Node's server with the limits of an interface. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { HttpComponentOptions } from "./server_options.ts";

const CHECK_INTERVAL_MS = 1_000;

/** Creates Node's server, with TLS if there are credentials. */
export function createNodeServer(
  { limits, tls }: Pick<HttpComponentOptions, "limits" | "tls">,
  listener: (incoming: IncomingMessage, response: ServerResponse) => void,
): Server {
  const common: ServerOptions = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: Math.min(limits.headersMs, limits.requestMs),
    requestTimeout: limits.requestMs,
    keepAliveTimeout: limits.idleMs,
    connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, limits.headersMs),
  };
  if (!tls) return createServer(common, listener);
  return createTlsServer({
    ...common,
    cert: tls.certificate,
    key: tls.key,
    ca: tls.authorities,
    requestCert: tls.requireClientCertificate,
    rejectUnauthorized: tls.requireClientCertificate,
    handshakeTimeout: limits.headersMs,
  }, listener);
}
