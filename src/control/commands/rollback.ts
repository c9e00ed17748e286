/**
 * Restores a retained manifest as a new revision. The walls are not rolled back: those in force stay. A repeated rollback is
 * identified by its request, also if the manifest that it restored is no longer retained.
 */

import { Guard } from '../../common/guard.js';
import { Revision } from '../../common/revision.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import { PutManifest } from './put-manifest.js';

/** A request to restore a retained manifest. */
export type Rollback = Omit<PutManifest, 'body'> & { readonly body: unknown };

const bodyGuard = Guard.strictObject({ revision: Guard.integer({ min: 1 }) });

/** The command that restores a retained manifest. */
export const Rollback = {
  /** Puts the manifest of the requested revision as a new revision. */
  async run(gateway: PrimaryGateway, rollback: Rollback): Promise<Responses> {
    const findings: Guard.Finding[] = [];
    if (!bodyGuard(rollback.body, '', findings))
      return Responses.fail(422, 'invalid_rollback', 'nothing was changed', { findings });
    const wanted = Revision.of(rollback.body.revision);
    const state = await gateway.confirm();
    const digest = PutManifest.digestOf({ rollback: wanted });
    const refuse = (current: State): Responses =>
      PutManifest.recordedResponse(current, rollback, digest) ??
      PutManifest.uncertainResponse(current, rollback) ??
      Responses.fail(404, 'not_kept', `the manifest of revision ${wanted} is not kept`);
    const kept = state.manifests.find((one) => one.revision === wanted);
    if (!kept) return gateway.change(refuse, refuse);
    const walls = State.newest(state)?.document.walls ?? kept.document.walls;
    const body = { ...kept.document, ...(walls ? { walls } : {}), note: `rollback to revision ${wanted}` };
    return PutManifest.run(gateway, { ...rollback, body, digest });
  },
};
