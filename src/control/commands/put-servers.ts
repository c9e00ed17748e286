/**
 * Replaces the platform's list of servers. The platform numbers its lists: one with a lower serial than the stored list is
 * refused, and so is one with the same serial and other content. The stored list sent again gets the same response.
 */

import { isDeepStrictEqual } from 'node:util';
import { Check } from '../../manifest/check.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';

/** The list as received. */
export type PutServers = { readonly body: unknown };

/** The command that replaces the list of servers. */
export const PutServers = {
  /** Takes the list, or answers why it was refused. */
  async run(gateway: PrimaryGateway, { body }: PutServers): Promise<Responses> {
    const checked = Check.servers(body);
    if (!('serial' in checked))
      return Responses.fail(422, 'invalid_servers', 'the list was not taken', { findings: checked });
    const { serial, servers } = checked;
    const at = new Date().toISOString();
    return gateway.change(
      ({ platform }, stamp) => {
        if (serial === platform.serial && isDeepStrictEqual(servers, platform.servers))
          return { status: 200, body: { serial, revision: platform.revision } };
        if (serial <= platform.serial)
          return Responses.fail(412, 'stale', `the list is at serial ${platform.serial}`, {
            serial: platform.serial,
          });
        return { kind: 'platform', stamp, serial, servers, at };
      },
      (state) => ({ status: 200, body: { serial, revision: state.platform.revision } }),
    );
  },
};
