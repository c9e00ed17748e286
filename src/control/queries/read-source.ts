/**
 * The text from which the operator's manifest was translated, as stored with the newest manifest. It is read only after a
 * majority has confirmed the epoch.
 */

import type { Document } from '../../manifest/document.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';

/** The source of the newest manifest. */
export type ReadSource = { readonly source: Document.Source };

/** The query for the source of the newest manifest. */
export const ReadSource = {
  /** The source, or undefined if the newest manifest has none. */
  async run(gateway: PrimaryGateway): Promise<ReadSource | undefined> {
    const source = State.newest(await gateway.confirm())?.document.source;
    return source && { source };
  },
};
