/** The stored list of the platform's servers with the instances that are leaving, or the audit log of changes. */

import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

/** Which of the two lists to read. */
export type ReadServers = { readonly kind: 'servers' | 'audit' };

/** The query for the list of servers or the audit log. */
export const ReadServers = {
  /** Answers with the list, after a majority has confirmed the epoch. */
  async run(gateway: PrimaryGateway, { kind }: ReadServers): Promise<Responses> {
    const state = await gateway.confirm();
    return { status: 200, body: kind === 'audit' ? { audit: state.audit } : state.platform };
  },
};
