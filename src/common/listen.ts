// Opens a server on an address and tells the address it got.
import type { Server } from 'node:net';
import type { Address } from './address.js';

export type Listen = (server: Server, address: Address) => Promise<Address>;

export const Listen: Listen = (server, address) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.removeListener('error', reject);
      const bound = server.address();
      resolve({ host: address.host, port: typeof bound === 'object' && bound ? bound.port : address.port });
    });
  });
