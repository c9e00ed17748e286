// Servers of tests that answer whatever a test says, and how many connections came to them.
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';

export type AnsweringServer = { readonly address: string; readonly connections: () => number };

const ends: (() => void)[] = [];

export const AnsweringServer = {
  async start(answer: RequestListener): Promise<AnsweringServer> {
    let connections = 0;
    const server = createServer(answer);
    server.on('connection', () => {
      connections += 1;
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    ends.push(() => {
      server.close();
      server.closeAllConnections();
    });
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: () => connections };
  },
  /** Ends all that were started. */
  end(): void {
    for (const end of ends.splice(0)) end();
  },
};
