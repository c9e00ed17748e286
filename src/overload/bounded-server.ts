/** HTTP servers whose connections and unread responses count towards the bounds of their process. */
import type { Server, ServerOptions } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { HeldResponse } from './held-response.js';
import type { Overload } from './overload.js';

/** An HTTP server within the bounds of its process. */
export type BoundedServer = Server;

export declare namespace BoundedServer {
  /** Handles requests, as the `fetch` of an application does. */
  type Fetch = Parameters<typeof createAdaptorServer>[0]['fetch'];
  /** Times within which the server expects heads and whole requests, in milliseconds. */
  type Timeouts = Pick<ServerOptions, 'headersTimeout' | 'requestTimeout' | 'connectionsCheckingInterval'>;
}

/** Creates servers. */
export const BoundedServer = {
  of(
    fetch: BoundedServer.Fetch,
    { attach, memory }: Pick<Overload, 'attach' | 'memory'>,
    timeouts: BoundedServer.Timeouts = {},
  ): BoundedServer {
    const server = createAdaptorServer({
      fetch,
      overrideGlobalObjects: false,
      serverOptions: { ServerResponse: HeldResponse.of(memory), ...timeouts },
    }) as Server;
    attach(server);
    return server;
  },
};
