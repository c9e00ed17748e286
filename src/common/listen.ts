/** Starts a server and reports the address that it is bound to. */
import type { Server } from 'node:net';
import type { Address } from './address.js';

/** Listens on an address; port 0 lets the system choose a free port. */
export type Listen = (server: Server, address: Address) => Promise<Address>;

/** Resolves to the bound address, or rejects when the server cannot listen. */
export const Listen: Listen = (server, address) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.removeListener('error', reject);
      const bound = server.address();
      resolve({ host: address.host, port: typeof bound === 'object' && bound ? bound.port : address.port });
    });
  });
