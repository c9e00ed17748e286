// The words the operator wrote, as kept beside the newest manifest, once a majority has confirmed the epoch.
import type { Document } from '../../manifest/document.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';

export type ReadSource = { readonly source: Document.Source };

export const ReadSource = {
  async run(office: PrimaryGateway): Promise<ReadSource | undefined> {
    const source = State.newest(await office.confirm())?.document.source;
    return source && { source };
  },
};
