/** HTTP servers for tests that answer with a given handler and count the connections made to them. */
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A running server: its `host:port` and the number of connections accepted so far. */
export type AnsweringServer = { readonly address: string; readonly connections: () => number };

const cleanups: (() => void)[] = [];

/** Starts and stops test servers. */
export const AnsweringServer = {
  async start(handler: RequestListener): Promise<AnsweringServer> {
    let connections = 0;
    const server = createServer(handler);
    server.on('connection', () => {
      connections += 1;
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    cleanups.push(() => {
      server.close();
      server.closeAllConnections();
    });
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: () => connections };
  },
  /** Stops all servers that were started. */
  end(): void {
    for (const cleanup of cleanups.splice(0)) cleanup();
  },
};
