/**
 * Replaces the whole manifest. If-Match names the revision to replace; of two requests that name the same revision only one is
 * taken. A repeated PUT gets its first response again: it is identified by its idempotency key or, without one, by the revision
 * that it replaces and its content. A request with a key that may have been taken without a record gets a response that leaves
 * open whether it was.
 */

import { createHash, randomBytes } from 'node:crypto';
import type { Revision } from '../../common/revision.js';
import { Check } from '../../manifest/check.js';
import { WallChange } from '../../manifest/wall-change.js';
import { Orders } from '../../store/orders.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import { Rights } from '../rights.js';

/** A request to replace the manifest. */
export type PutManifest = {
  readonly body: unknown;
  readonly ifMatch: Revision | undefined;
  readonly key: string | undefined;
  readonly by: Rights.Person;
  /** Whether a key file is configured, so that stored records are encrypted. */
  readonly isSealed: boolean;
  /** Digest of the original request, if the body was derived from it. */
  readonly digest?: string;
};

const makeSecret = (): string => randomBytes(32).toString('hex');

const withoutKeyFile = {
  place: '/walls',
  text: 'needs key_file in the startup of the control nodes: its secret is not kept in plain',
};

const takenResponse = (revision: Revision): Responses => ({
  status: 200,
  body: { revision },
  headers: { etag: `"${revision}"` },
});

/** Gives access to retained manifests; each is decoded only when it is read. */
const retainedDocuments = ({ manifests }: State): WallChange.History => ({
  at: (index) => manifests.at(index)?.document,
  some: (is) => manifests.some(({ document }) => is(document)),
});

/** The key of the recorded answer. A header's value never begins with a space, so no idempotency key equals a generated one. */
const keyOf = (put: PutManifest.Identity): string => put.key ?? ` if-match ${put.ifMatch}`;

/** The recorded response to a request that was taken before, also if newer manifests followed. */
const recordedResponse = (
  orders: Orders,
  put: PutManifest.Identity,
  digest: string,
): Responses | undefined => {
  const known = Orders.findAnswer(orders, keyOf(put), digest);
  if (!known) return undefined;
  if (known.isSame) return takenResponse(known.revision);
  return put.key === undefined
    ? undefined
    : Responses.fail(409, 'key_reused', 'the idempotency key came with another manifest before');
};

/**
 * The response that replaces a refusal if the request may have been taken without a record. It requires an idempotency key:
 * without one, the many clients that hold an old revision must be told which revision is current.
 */
const uncertainResponse = (orders: Orders, put: PutManifest.Identity): Responses | undefined =>
  put.key !== undefined && put.ifMatch !== undefined && Orders.mayBeMissing(orders, put.ifMatch)
    ? Responses.unconfirmed(
        'unconfirmed',
        `an order on revision ${put.ifMatch} may have been taken before the record of orders begins`,
        'unknown',
      )
    : undefined;

const digestOf = (request: unknown): string =>
  createHash('sha256').update(JSON.stringify(request)).digest('hex');

export declare namespace PutManifest {
  /** What identifies a request that is sent again. */
  type Identity = Pick<PutManifest, 'ifMatch' | 'key'>;
}

/** The command that replaces the manifest. */
export const PutManifest = {
  digestOf,
  recordedResponse,
  uncertainResponse,
  /** Takes the manifest, or answers why it was refused. */
  async run(gateway: PrimaryGateway, put: PutManifest): Promise<Responses> {
    const checked = Check.manifest(put.body);
    if (checked.kind === 'bad')
      return Responses.fail(422, 'invalid_manifest', 'the manifest was not taken', {
        findings: checked.findings,
      });
    if (put.ifMatch === undefined)
      return Responses.fail(428, 'if_match_missing', 'If-Match must name the revision that is replaced');
    const requested = checked.document;
    if (requested.walls && !put.isSealed)
      return Responses.fail(422, 'invalid_manifest', 'the manifest was not taken', {
        findings: [withoutKeyFile],
      });
    const digest = put.digest ?? digestOf(requested);
    const at = new Date().toISOString();
    return gateway.change(
      (state, stamp) => {
        const known = recordedResponse(state, put, digest);
        if (known) return known;
        const newest = State.newest(state);
        const current = newest?.revision ?? 0;
        if (put.ifMatch !== 0 && !gateway.isSettled())
          return Responses.unconfirmed('unconfirmed', 'the cores formed anew and ask the nodes', 'no');
        if (current !== put.ifMatch && (put.ifMatch !== 0 || gateway.isSettled()))
          return (
            uncertainResponse(state, put) ??
            Responses.fail(412, 'stale', `the manifest is at revision ${current}`, { revision: current })
          );
        const changed = WallChange.of(retainedDocuments(state), requested, makeSecret);
        if (changed.kind === 'bad')
          return Responses.fail(422, 'invalid_manifest', 'the manifest was not taken', {
            findings: changed.findings,
          });
        const { document } = changed;
        const affected = Rights.affected(newest?.document, document);
        const denied = Rights.denied(put.by, affected);
        if (denied) return Responses.fail(403, 'not_yours', denied);
        return {
          kind: 'manifest',
          stamp,
          document,
          by: put.by.name,
          at,
          what: [document.note ?? 'manifest put', ...(changed.what === '' ? [] : [changed.what])].join('; '),
          teams: affected.teams,
          answer: { key: keyOf(put), digest },
          ...(gateway.isSettled() ? {} : { isUnsettled: true as const }),
        };
      },
      (_state, change) => takenResponse(change.stamp.revision),
    );
  },
};
