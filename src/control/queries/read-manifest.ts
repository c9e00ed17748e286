/**
 * The manifest in force, or a retained one by its revision. The response is sent only after a majority has confirmed the epoch,
 * so it reflects the newest acknowledged manifest. The secret of the walls is left out unless the reader may see secrets.
 */

import { Revision } from '../../common/revision.js';
import type { Document } from '../../manifest/document.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import type { Rights } from '../rights.js';

/** The revision to read, the newest by default, and who reads it. */
export type ReadManifest = { readonly revision?: string; readonly by: Rights.Person };

const withoutSecret = (document: Document): Document => {
  if (!document.walls) return document;
  const { secret: _secret, ...walls } = document.walls;
  return { ...document, walls };
};

/** The query for a manifest. */
export const ReadManifest = {
  /** Answers with the manifest, or 404 with the revisions that are retained. */
  async run(gateway: PrimaryGateway, query: ReadManifest): Promise<Responses> {
    const state = await gateway.confirm();
    const requested = query.revision === undefined ? undefined : Revision.parse(query.revision);
    const found =
      query.revision === undefined
        ? State.newest(state)
        : state.manifests.find((one) => one.revision === requested);
    if (!found)
      return {
        ...Responses.fail(404, 'no_manifest', 'there is no such manifest', {
          kept: state.manifests.map((one) => one.revision),
        }),
        ...(query.revision === undefined ? { headers: { etag: '"0"' } } : {}),
      };
    return {
      status: 200,
      body: query.by.maySeeSecrets ? found.document : withoutSecret(found.document),
      headers: { etag: `"${found.revision}"`, 'bramblebend-by': found.by, 'bramblebend-at': found.at },
    };
  },
};
