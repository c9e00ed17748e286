// Replace the manifest whole. If-Match names the revision it replaces; of two that name the same only
// one is taken. A repeated PUT with its idempotency key gets its first answer again.
import { createHash, randomBytes } from 'node:crypto';
import type { Revision } from '../../kinds/revision.js';
import { Check } from '../../manifest/check.js';
import { WallChange } from '../../manifest/wall-change.js';
import { State } from '../../store/state.js';
import type { Office } from '../office.js';
import { Responses } from '../responses.js';
import { Rights } from '../rights.js';

export type PutManifest = {
  readonly body: unknown;
  readonly ifMatch: Revision | undefined;
  readonly key: string | undefined;
  readonly by: Rights.Person;
  readonly isSealed: boolean;
};

const makeSecret = (): string => randomBytes(32).toString('hex');

const withoutKeyFile = {
  place: '/walls',
  text: 'needs key_file in the startup of the control nodes: its secret is not kept in plain',
};

const taken = (revision: Revision): Responses => ({
  status: 200,
  body: { revision },
  headers: { etag: `"${revision}"` },
});

export const PutManifest = {
  taken,
  async run(office: Office, put: PutManifest): Promise<Responses> {
    const checked = Check.manifest(put.body);
    if (checked.kind === 'bad')
      return Responses.fail(422, 'invalid_manifest', 'the manifest was not taken', {
        findings: checked.findings,
      });
    if (put.ifMatch === undefined)
      return Responses.fail(428, 'if_match_missing', 'If-Match must name the revision that is replaced');
    const asked = checked.document;
    if (asked.walls && !put.isSealed)
      return Responses.fail(422, 'invalid_manifest', 'the manifest was not taken', {
        findings: [withoutKeyFile],
      });
    const digest = createHash('sha256').update(JSON.stringify(asked)).digest('hex');
    const at = new Date().toISOString();
    return office.change(
      (state, stamp) => {
        const known = put.key === undefined ? undefined : state.answers.find((one) => one.key === put.key);
        if (known)
          return known.digest === digest
            ? taken(known.revision)
            : Responses.fail(409, 'key_reused', 'the idempotency key came with another manifest before');
        const newest = State.newest(state);
        const current = newest?.revision ?? 0;
        if (put.ifMatch !== 0 && !office.isSettled())
          return Responses.fail(503, 'unconfirmed', 'the cores formed anew and ask the nodes', {
            taken: 'no',
          });
        if (current !== put.ifMatch && (put.ifMatch !== 0 || office.isSettled()))
          return Responses.fail(412, 'stale', `the manifest is at revision ${current}`, {
            revision: current,
          });
        const kept = state.manifests.map((one) => one.document);
        const changed = WallChange.of(kept, asked, makeSecret);
        if (changed.kind === 'bad')
          return Responses.fail(422, 'invalid_manifest', 'the manifest was not taken', {
            findings: changed.findings,
          });
        const { document } = changed;
        const touched = Rights.touched(newest?.document, document);
        const denied = Rights.denied(put.by, touched);
        if (denied) return Responses.fail(403, 'not_yours', denied);
        return {
          kind: 'manifest',
          stamp,
          document,
          by: put.by.name,
          at,
          what: [document.note ?? 'manifest put', ...(changed.what === '' ? [] : [changed.what])].join('; '),
          teams: touched.teams,
          ...(put.key === undefined ? {} : { answer: { key: put.key, digest } }),
        };
      },
      (_state, change) => taken(change.stamp.revision),
    );
  },
};
