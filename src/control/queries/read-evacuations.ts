/** The zones of the manifest in force and which of them are evacuated, so that they receive no new requests. */

import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

/** A zone and whether it is evacuated. */
export type ReadEvacuations = { readonly zone: string; readonly region: string; readonly evacuated: boolean };

/** The query for zones and evacuations. */
export const ReadEvacuations = {
  /** Answers with all zones of the manifest. */
  async run(gateway: PrimaryGateway): Promise<Responses> {
    const document = State.newest(await gateway.confirm())?.document;
    const zones: ReadEvacuations[] = Object.entries(document?.zones ?? {}).map(([zone, { region }]) => ({
      zone,
      region,
      evacuated: document?.evacuations?.some((one) => one === zone) ?? false,
    }));
    return { status: 200, body: { zones } };
  },
};
