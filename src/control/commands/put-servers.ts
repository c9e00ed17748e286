// The platform's whole server list, with the platform's own serial: a list that is not newer than the
// one held is dropped, and the same one again is answered as before.
import { isDeepStrictEqual } from 'node:util';
import { Check } from '../../manifest/check.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';

export type PutServers = { readonly body: unknown };

export const PutServers = {
  async run(office: PrimaryGateway, { body }: PutServers): Promise<Responses> {
    const checked = Check.servers(body);
    if (!('serial' in checked))
      return Responses.fail(422, 'invalid_servers', 'the list was not taken', { findings: checked });
    const { serial, servers } = checked;
    const at = new Date().toISOString();
    return office.change(
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
