// Headers at the edge. Hop-by-hop headers, the caller's key, our own names and the controls that only
// a trusted proxy may set never reach a server; a server's hop-by-hop headers and our names never reach
// a caller.
import type { IncomingHttpHeaders } from 'node:http';
import type { Dialect } from './dialect.js';

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
const ours = ['bramblebend-', 'x-envoy-'];
const notUp = new Set(['content-length', 'expect']);

/** What the Connection header lists, but for what belongs to the message and not to the connection. */
const named = (headers: IncomingHttpHeaders, isNeeded: (name: string) => boolean): Set<string> =>
  new Set(
    (headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase())
      .filter((name) => name !== 'host' && !name.startsWith('content-') && !isNeeded(name)),
  );

const isOurs = (name: string): boolean => ours.some((start) => name.startsWith(start));

export const HeaderFilter = {
  requestHeaders(
    headers: IncomingHttpHeaders,
    { isKept, isNeeded }: Pick<Dialect, 'isKept' | 'isNeeded'>,
  ): Record<string, string> {
    const listed = named(headers, isNeeded);
    return Object.fromEntries(
      Object.entries(headers).flatMap(([name, value]) =>
        value === undefined ||
        hopByHop.has(name) ||
        notUp.has(name) ||
        !isKept(name) ||
        isOurs(name) ||
        listed.has(name)
          ? []
          : [[name, Array.isArray(value) ? value.join(', ') : value]],
      ),
    );
  },
  responseHeaders(
    headers: IncomingHttpHeaders,
    { isNeeded }: Pick<Dialect, 'isNeeded'>,
  ): Record<string, string | string[]> {
    const listed = named(headers, isNeeded);
    return Object.fromEntries(
      Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || hopByHop.has(name) || isOurs(name) || listed.has(name) ? [] : [[name, value]],
      ),
    );
  },
};
