// The zones of the manifest in force, and which of them get nothing new.
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

export type ReadEvacuations = { readonly zone: string; readonly region: string; readonly evacuated: boolean };

export const ReadEvacuations = {
  async run(office: PrimaryGateway): Promise<Responses> {
    const document = State.newest(await office.confirm())?.document;
    const zones: ReadEvacuations[] = Object.entries(document?.zones ?? {}).map(([zone, { region }]) => ({
      zone,
      region,
      evacuated: document?.evacuations?.some((one) => one === zone) ?? false,
    }));
    return { status: 200, body: { zones } };
  },
};
