/**
 * Evacuates a zone or ends its evacuation. Only the evacuations of the newest manifest change. The change is as durable as a
 * manifest, and manifests that follow keep it.
 */

import type { Id } from '../../common/id.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import { Rights } from '../rights.js';

/** A request to evacuate a zone or to end its evacuation. */
export type Evacuate = {
  readonly zone: string;
  readonly isEvacuated: boolean;
  readonly by?: Rights.Person;
};

/** Used where the installation's own API has authorized the request. */
const unrestrictedOperator: Rights.Person = { name: 'operator', teams: undefined };

/** The command that changes evacuations. */
export const Evacuate = {
  /** Makes the change, or answers why it was refused; repeating it changes nothing. */
  async run(
    gateway: PrimaryGateway,
    { zone, isEvacuated, by: person = unrestrictedOperator }: Evacuate,
  ): Promise<Responses> {
    const by = person.name;
    const denied = Rights.denied(person, { teams: [], others: ['evacuations'] });
    if (denied) return Responses.fail(403, 'not_yours', denied);
    const at = new Date().toISOString();
    const done = (zones: readonly string[]): Responses => ({ status: 200, body: { evacuations: zones } });
    return gateway.change(
      (state, stamp) => {
        const document = State.newest(state)?.document;
        if (!gateway.isSettled() || !document)
          return Responses.unconfirmed('unconfirmed', 'no manifest is known to be in place yet', 'no');
        if (!Object.hasOwn(document.zones, zone))
          return Responses.fail(
            404,
            'unknown_zone',
            `the manifest names no zone ${zone}; it names ${Object.keys(document.zones).join(', ')}`,
          );
        const others = (document.evacuations ?? []).filter((one) => one !== zone);
        const zones = isEvacuated ? [...others, zone as Id.Zone] : others;
        if (zones.length === (document.evacuations?.length ?? 0)) return done(zones);
        const what = `${isEvacuated ? 'evacuate' : 'restore'} ${zone}`;
        return { kind: 'evacuations', stamp, zones, by, at, what };
      },
      (state) => done(State.newest(state)?.document.evacuations ?? []),
    );
  },
};
