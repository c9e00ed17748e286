/** Stores the list of servers as polled, under the next serial. Nothing is written if it equals the stored list. */

import { isDeepStrictEqual } from 'node:util';
import type { Document } from '../../manifest/document.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

/** The list as polled. */
export type RefreshServerList = { readonly servers: readonly Document.Server[] };

/** The command that stores a polled list of servers. */
export const RefreshServerList = {
  /** Stores the list if it differs from the stored one. */
  async run(gateway: PrimaryGateway, { servers }: RefreshServerList): Promise<Responses> {
    const at = new Date().toISOString();
    return gateway.change(
      ({ platform }, stamp) =>
        isDeepStrictEqual(servers, platform.servers)
          ? { status: 200, body: { serial: platform.serial } }
          : { kind: 'platform', stamp, serial: platform.serial + 1, servers, at },
      (state) => ({ status: 200, body: { serial: state.platform.serial } }),
    );
  },
};
