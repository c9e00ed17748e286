// Take back a kept manifest as a new revision. Walls are never taken back: those in force stay. A rollback that is
// sent again is known by what was asked, also when the manifest it went back to is no longer kept.
import { Guard } from '../../common/guard.js';
import { Revision } from '../../common/revision.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import { PutManifest } from './put-manifest.js';

/** An order to take a kept manifest back. */
export type Rollback = Omit<PutManifest, 'body'> & { readonly body: unknown };

const form = Guard.strictObject({ revision: Guard.integer({ min: 1 }) });

export const Rollback = {
  /** Puts the manifest of the revision asked for as a new one. */
  async run(office: PrimaryGateway, rollback: Rollback): Promise<Responses> {
    const findings: Guard.Finding[] = [];
    if (!form(rollback.body, '', findings))
      return Responses.fail(422, 'invalid_rollback', 'nothing was changed', { findings });
    const wanted = Revision.of(rollback.body.revision);
    const state = await office.confirm();
    const digest = PutManifest.digestOf({ rollback: wanted });
    const refuse = (held: State): Responses =>
      PutManifest.knownAnswer(held, rollback, digest) ??
      PutManifest.unclearAnswer(held, rollback) ??
      Responses.fail(404, 'not_kept', `the manifest of revision ${wanted} is not kept`);
    const kept = state.manifests.find((one) => one.revision === wanted);
    if (!kept) return office.change(refuse, refuse);
    const walls = State.newest(state)?.document.walls ?? kept.document.walls;
    const body = { ...kept.document, ...(walls ? { walls } : {}), note: `rollback to revision ${wanted}` };
    return PutManifest.run(office, { ...rollback, body, digest });
  },
};
