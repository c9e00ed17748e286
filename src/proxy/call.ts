/** One request of a caller on its way through the filters, and what they have found out about it so far. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Ident } from '../kinds/ident.js';
import type { Moment } from '../kinds/moment.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Document } from '../manifest/document.js';
import type { Wall } from '../manifest/wall.js';
import type { Tries } from '../upstream/tries.js';
import type { Dialect } from './dialect.js';
import type { Prompt } from './prompt.js';

/** A request and what is known of it. */
export type Call = {
  readonly id: Ident.Request;
  readonly arrivedAt: Moment;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly method: string;
  /** The path of the target as the caller wrote it, without the query. */
  readonly path: string;
  /** Aborted when the caller has left before its answer ended. */
  readonly clientAbort: AbortSignal;
  readonly dialect: Dialect;
  readonly requestInfo: Dialect.RequestInfo;
  compiled?: Compiled;
  team?: Compiled.Team;
  wall?: Wall | undefined;
  body?: Buffer;
  prompt?: Prompt;
  /** The rules that its path, host, method and headers fit, in order. */
  candidateRules?: readonly Compiled.Rule[];
  rule?: Compiled.Rule;
  timeouts?: Document.Timeouts;
  regions?: readonly Ident.Region[];
  deadline?: Moment;
  /** Gives back what the call was charged. */
  refund?: () => void;
  attemptResult?: Tries;
  resume?: (after: string | undefined, tries: number) => Promise<Tries>;
};

export const Call = {
  require<K extends keyof Call>(call: Call, key: K): NonNullable<Call[K]> {
    const value = call[key];
    if (value === undefined || value === null) throw new Error(`the call has no ${key} yet`);
    return value as NonNullable<Call[K]>;
  },
};
