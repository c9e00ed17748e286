/**
 * Extension points of an installation, whose own protocol differs from the control API: paths for its operators, a directory
 * for its clients at an address of its own, and sources that are polled for the list of servers and their load.
 */

import type { Context, Hono } from 'hono';
import type { ListSource } from '../duty/list-source.js';
import type { ReportSource } from '../duty/report-source.js';
import type { PrimaryGateway } from './primary-gateway.js';
import type { ReadDirectory } from './queries/read-directory.js';
import type { Responses } from './responses.js';

/** The extension points of an installation; each may be absent. */
export type Adapter = {
  /** Additional paths for operators, served beside the control API. */
  readonly operators?: (ways: Adapter.OperatorContext) => Hono;
  /** A directory of proxies for clients, served at an address of its own. */
  readonly directory?: {
    readonly address: string;
    readonly app: (find: (zone: string) => ReadDirectory.Found) => Hono;
  };
  /** Where the list of servers is polled. */
  readonly list?: ListSource;
  /** Where reports of the servers' load are read. */
  readonly reports?: ReportSource;
};

export declare namespace Adapter {
  /** Handles a request at the primary. */
  type Handle = (context: Context) => Promise<Responses> | Responses;
  /** What the paths for operators are built from. */
  type OperatorContext = {
    readonly gateway: PrimaryGateway;
    /** Writes a log line. */
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    /** Runs the handler at the primary and answers 503 if its result could not be confirmed. */
    readonly onPrimary: (handle: Handle) => (context: Context) => Promise<Response>;
  };
}
