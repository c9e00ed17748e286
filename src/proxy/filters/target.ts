/**
 * Target filter: validates the host and path of a request. The path is used exactly as written, since servers receive it
 * that way. A target that is not a path, and a request without exactly one Host header, are refused because components on
 * the way could interpret them differently.
 */
import type { IncomingMessage } from 'node:http';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The target of a request. */
export type Target = { readonly path: string };

/** A host name, an IPv4 address or a bracketed IPv6 address, optionally with a port. */
const hostPattern = /^(\[[0-9a-f:.]+\]|[^\s/?#@\\:[\]<>^|"]+)(:\d{1,5})?$/i;

const countHosts = ({ rawHeaders }: IncomingMessage): number => {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (name.length === 4 && name.toLowerCase() === 'host') count += 1;
  }
  return count;
};

const pathOf = ({ url = '' }: IncomingMessage): string => {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
};

const isUnambiguous = (incoming: IncomingMessage, path: string): boolean =>
  path.startsWith('/') &&
  !path.includes('\\') &&
  countHosts(incoming) === 1 &&
  hostPattern.test(incoming.headers.host ?? '');

/** Creates the target filter and extracts the request path. */
export const Target = {
  /** The request path exactly as written, without the query. */
  path: pathOf,
  filter: (): Filter => (call) => {
    if (isUnambiguous(call.incoming, call.path)) return 'next';
    return Responses.refuse(call, {
      status: 400,
      code: 'bad_target',
      text: 'a request names one host, and its target is a path',
    });
  },
};
