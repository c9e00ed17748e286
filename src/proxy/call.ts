/** State of one client request as it passes through the filter chain. */
import type { IncomingMessage } from 'node:http';
import type { Id } from '../common/id.js';
import type { Instant } from '../common/instant.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Document } from '../manifest/document.js';
import type { Wall } from '../manifest/wall.js';
import type { ClientResponse } from '../overload/client-response.js';
import type { Tries } from '../upstream/tries.js';
import type { Dialect } from './dialect.js';
import type { Prompt } from './prompt.js';

/** A client request, with the fields that the filters fill in one after another. */
export type Call = {
  readonly id: Id.Request;
  readonly arrivedAt: Instant;
  readonly incoming: IncomingMessage;
  readonly outgoing: ClientResponse;
  readonly method: string;
  /** The request path exactly as the client sent it, without the query. */
  readonly path: string;
  /** Aborted when the client disconnects before its response is complete. */
  readonly clientAbort: AbortSignal;
  readonly dialect: Dialect;
  /** What the dialect read from the request headers. */
  readonly requestInfo: Dialect.RequestInfo;
  /** The manifest in force when the request was admitted. */
  compiled?: Compiled;
  team?: Compiled.Team;
  /** The API key by which the team was found; undefined for a request without one. */
  key?: string;
  /** Cache isolation of the tenant; undefined where the manifest defines none. */
  wall?: Wall | undefined;
  body?: Buffer;
  prompt?: Prompt;
  /** Rules whose path, host, method and headers match, in manifest order. */
  candidateRules?: readonly Compiled.Rule[];
  rule?: Compiled.Rule;
  timeouts?: Document.Timeouts;
  /** Regions that may serve the request. */
  regions?: readonly Id.Region[];
  deadline?: Instant;
  /** Returns what was charged to the team quota. */
  refund?: () => void;
  /** Outcome of all attempts, set by the attempt filter. */
  attemptResult?: Tries;
  /** Runs further attempts that continue a stream after the given event id. */
  resume?: (after: string | undefined, tries: number) => Promise<Tries>;
};

/** Access to the fields of a call. */
export const Call = {
  /** Returns a field that an earlier filter has set; throws if it is missing. */
  require<K extends keyof Call>(call: Call, key: K): NonNullable<Call[K]> {
    const value = call[key];
    if (value === undefined || value === null) throw new Error(`call.${key} is not set yet`);
    return value as NonNullable<Call[K]>;
  },
};
