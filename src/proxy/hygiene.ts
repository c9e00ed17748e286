// Headers at the edge. Hop-by-hop headers, the caller's key, our own names and the controls that only
// a trusted proxy may set never reach a server; a server's hop-by-hop headers and our names never reach
// a caller.
import type { IncomingHttpHeaders } from 'node:http';

export type Hygiene = Readonly<Record<string, string>>;

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

const named = (headers: IncomingHttpHeaders): Set<string> =>
  new Set((headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()));

const isOurs = (name: string): boolean => ours.some((start) => name.startsWith(start));

export const Hygiene = {
  up(headers: IncomingHttpHeaders, isKept: (name: string) => boolean): Record<string, string> {
    const listed = named(headers);
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
  down(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const listed = named(headers);
    return Object.fromEntries(
      Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || hopByHop.has(name) || isOurs(name) || listed.has(name) ? [] : [[name, value]],
      ),
    );
  },
};
