/**
 * Target: which host and path a request is for. The path counts as it is written, for that is what a server gets; a
 * target that is no path, or a request that names no host or more than one, could be read in two ways by those on its
 * way, and is refused.
 */
import type { IncomingMessage } from 'node:http';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** What a request is for. */
export type Target = { readonly path: string };

/** A name, an IPv4 or a bracketed IPv6 address, with a port or without. */
const host = /^(\[[0-9a-f:.]+\]|[^\s/?#@\\:[\]<>^|"]+)(:\d{1,5})?$/i;

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

const isPlain = (incoming: IncomingMessage, path: string): boolean =>
  path.startsWith('/') &&
  !path.includes('\\') &&
  countHosts(incoming) === 1 &&
  host.test(incoming.headers.host ?? '');

export const Target = {
  /** The path of the target as it is written, without the query. */
  path: pathOf,
  filter: (): Filter => (call) => {
    if (isPlain(call.incoming, call.path)) return 'next';
    return Responses.refuse(call, {
      status: 400,
      code: 'bad_target',
      text: 'a request names one host, and its target is a path',
    });
  },
};
