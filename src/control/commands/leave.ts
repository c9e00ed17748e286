/** A notice that an instance is leaving. It holds until the platform's server list no longer contains the instance. */

import type { Guard } from '../../common/guard.js';
import { Document } from '../../manifest/document.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';

/** The notice as received. */
export type Leave = { readonly body: unknown };

/** The command that marks an instance as leaving. */
export const Leave = {
  /** Records the notice, or answers why it was refused; repeating it changes nothing. */
  async run(gateway: PrimaryGateway, { body }: Leave): Promise<Responses> {
    const findings: Guard.Finding[] = [];
    if (!Document.leaving(body, '', findings))
      return Responses.fail(422, 'invalid_notice', 'the notice was not taken', { findings });
    const { instance } = body;
    const at = new Date().toISOString();
    return gateway.change(
      ({ platform }, stamp) => {
        if (!platform.servers.some((server) => server.instance === instance))
          return Responses.fail(404, 'unknown_instance', `the list names no ${instance}`);
        if (platform.leaving.includes(instance))
          return { status: 200, body: { instance, revision: platform.revision } };
        return { kind: 'leaving', stamp, instance, at };
      },
      (state) => ({ status: 200, body: { instance, revision: state.platform.revision } }),
    );
  },
};
