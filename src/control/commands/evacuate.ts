// Evacuate a zone or take it back: a change of the newest manifest's evacuations alone, as safe as a manifest
// and kept by those that follow.
import type { Id } from '../../common/id.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import { Rights } from '../rights.js';

export type Evacuate = {
  readonly zone: string;
  readonly isEvacuated: boolean;
  readonly by?: Rights.Person;
};

const anOperator: Rights.Person = { name: 'operator', teams: undefined };

export const Evacuate = {
  async run(
    office: PrimaryGateway,
    { zone, isEvacuated, by: person = anOperator }: Evacuate,
  ): Promise<Responses> {
    const by = person.name;
    const denied = Rights.denied(person, { teams: [], others: ['evacuations'] });
    if (denied) return Responses.fail(403, 'not_yours', denied);
    const at = new Date().toISOString();
    const done = (zones: readonly string[]): Responses => ({ status: 200, body: { evacuations: zones } });
    return office.change(
      (state, stamp) => {
        const document = State.newest(state)?.document;
        if (!office.isSettled() || !document)
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
