// The platform's list as held, with the instances that are leaving.

import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

export type ReadServers = { readonly kind: 'servers' | 'audit' };

export const ReadServers = {
  async run(office: PrimaryGateway, { kind }: ReadServers): Promise<Responses> {
    const state = await office.confirm();
    return { status: 200, body: kind === 'audit' ? { audit: state.audit } : state.platform };
  },
};
