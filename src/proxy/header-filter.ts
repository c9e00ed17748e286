/**
 * Filters headers at the edge. Hop-by-hop headers, the client's key, internal headers and the controls that only a trusted
 * proxy may set are never forwarded to a server. Hop-by-hop and internal headers of a server are never returned to a
 * client.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dialect } from './dialect.js';

/** Filtered headers. */
export type HeaderFilter = Readonly<Record<string, string>>;

const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const internalPrefixes = ['bramblebend-', 'x-envoy-'];
const notForwarded = new Set(['content-length', 'expect']);

/** Names listed in the Connection header, except those that belong to the message rather than to the connection. */
const connectionHeaders = (headers: IncomingHttpHeaders, isNeeded: (name: string) => boolean): Set<string> =>
  new Set(
    (headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase())
      .filter((name) => name !== 'host' && !name.startsWith('content-') && !isNeeded(name)),
  );

const isInternal = (name: string): boolean => internalPrefixes.some((prefix) => name.startsWith(prefix));

/** Filters the headers of requests and responses. */
export const HeaderFilter = {
  /** The request headers to forward to a server. */
  requestHeaders(
    headers: IncomingHttpHeaders,
    { isKept, isNeeded }: Pick<Dialect, 'isKept' | 'isNeeded'>,
  ): Record<string, string> {
    const connectionListed = connectionHeaders(headers, isNeeded);
    return Object.fromEntries(
      Object.entries(headers).flatMap(([name, value]) =>
        value === undefined ||
        hopByHop.has(name) ||
        notForwarded.has(name) ||
        !isKept(name) ||
        isInternal(name) ||
        connectionListed.has(name)
          ? []
          : [[name, Array.isArray(value) ? value.join(', ') : value]],
      ),
    );
  },
  /** The response headers to return to the client. */
  responseHeaders(
    headers: IncomingHttpHeaders,
    { isNeeded }: Pick<Dialect, 'isNeeded'>,
  ): Record<string, string | string[]> {
    const connectionListed = connectionHeaders(headers, isNeeded);
    return Object.fromEntries(
      Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || hopByHop.has(name) || isInternal(name) || connectionListed.has(name)
          ? []
          : [[name, value]],
      ),
    );
  },
};
