// The manifest in force, or a kept one by its revision. Both are answered only after a majority has
// confirmed the epoch, so the newest acknowledged one is what is read.
import { Revision } from '../../kinds/revision.js';
import { State } from '../../store/state.js';
import type { Office } from '../office.js';
import { Responses } from '../responses.js';

export type ReadManifest = { readonly revision?: string };

export const ReadManifest = {
  async run(office: Office, query: ReadManifest): Promise<Responses> {
    const state = await office.confirm();
    const wanted = query.revision === undefined ? undefined : Revision.parse(query.revision);
    const found =
      query.revision === undefined
        ? State.newest(state)
        : state.manifests.find((one) => one.revision === wanted);
    if (!found)
      return {
        ...Responses.fail(404, 'no_manifest', 'there is no such manifest', {
          kept: state.manifests.map((one) => one.revision),
        }),
        ...(query.revision === undefined ? { headers: { etag: '"0"' } } : {}),
      };
    return {
      status: 200,
      body: found.document,
      headers: { etag: `"${found.revision}"`, 'bramblebend-by': found.by, 'bramblebend-at': found.at },
    };
  },
};
