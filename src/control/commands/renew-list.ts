// Take the list of servers as polled, under the next serial. Nothing is written when it is the one held.
import { isDeepStrictEqual } from 'node:util';
import type { Document } from '../../manifest/document.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

export type RenewList = { readonly servers: readonly Document.Server[] };

export const RenewList = {
  async run(office: PrimaryGateway, { servers }: RenewList): Promise<Responses> {
    const at = new Date().toISOString();
    return office.change(
      ({ platform }, stamp) =>
        isDeepStrictEqual(servers, platform.servers)
          ? { status: 200, body: { serial: platform.serial } }
          : { kind: 'platform', stamp, serial: platform.serial + 1, servers, at },
      (state) => ({ status: 200, body: { serial: state.platform.serial } }),
    );
  },
};
