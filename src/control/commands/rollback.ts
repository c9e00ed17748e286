// Take back a kept manifest as a new revision.
import { Guard } from '../../kinds/guard.js';
import { Revision } from '../../kinds/revision.js';
import { Answer } from '../answer.js';
import type { Office } from '../office.js';
import { PutManifest } from './put-manifest.js';

export type Rollback = Omit<PutManifest, 'body'> & { readonly body: unknown };

const form = Guard.record({ revision: Guard.whole({ min: 1 }) });

export const Rollback = {
  async run(office: Office, rollback: Rollback): Promise<Answer> {
    const findings: Guard.Finding[] = [];
    if (!form(rollback.body, '', findings))
      return Answer.fail(422, 'invalid_rollback', 'nothing was changed', { findings });
    const wanted = Revision.of(rollback.body.revision);
    const state = await office.confirm();
    const kept = state.manifests.find((one) => one.revision === wanted);
    if (!kept) return Answer.fail(404, 'not_kept', `the manifest of revision ${wanted} is not kept`);
    const body = { ...kept.document, note: `rollback to revision ${wanted}` };
    return PutManifest.run(office, { ...rollback, body });
  },
};
