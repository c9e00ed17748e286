// What an installation may put beside the control plane's own interface, in words of its own: paths for
// its operators, a directory for its callers at an address of its own, and a list of servers that is polled.
import type { Context, Hono } from 'hono';
import type { ListSource } from '../duty/list-source.js';
import type { ReportSource } from '../duty/report-source.js';
import type { PrimaryGateway } from './primary-gateway.js';
import type { ReadDirectory } from './queries/read-directory.js';
import type { Responses } from './responses.js';

export type Adapter = {
  readonly operators?: (ways: Adapter.Ways) => Hono;
  readonly directory?: {
    readonly address: string;
    readonly app: (find: (zone: string) => ReadDirectory.Found) => Hono;
  };
  readonly list?: ListSource;
  readonly reports?: ReportSource;
};

export declare namespace Adapter {
  type Handle = (context: Context) => Promise<Responses> | Responses;
  type Ways = {
    readonly office: PrimaryGateway;
    readonly order: (handle: Handle) => (context: Context) => Promise<Response>;
  };
}
