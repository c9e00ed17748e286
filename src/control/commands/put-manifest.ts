// Replace the manifest whole. If-Match names the revision it replaces; of two that name the same only
// one is taken. A repeated PUT gets its first answer again: it is known by its idempotency key, or without one by
// the revision that it replaces and its content. One with a key that may have been taken without a record of it is
// left without a clear answer.
import { createHash, randomBytes } from 'node:crypto';
import type { Revision } from '../../common/revision.js';
import { Check } from '../../manifest/check.js';
import { WallChange } from '../../manifest/wall-change.js';
import { Orders } from '../../store/orders.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';
import { Rights } from '../rights.js';

/** An order to replace the manifest. */
export type PutManifest = {
  readonly body: unknown;
  readonly ifMatch: Revision | undefined;
  readonly key: string | undefined;
  readonly by: Rights.Person;
  readonly isSealed: boolean;
  /** The digest of the request where the body is not as it came. */
  readonly digest?: string;
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

/** Older documents are read one by one, and only when they are asked for. */
const keptDocuments = ({ manifests }: State): WallChange.Kept => ({
  at: (index) => manifests.at(index)?.document,
  some: (is) => manifests.some(({ document }) => is(document)),
});

/** A header's value never begins with a space, so that no idempotency key is taken for it. */
const keyOf = (put: PutManifest.Named): string => put.key ?? ` if-match ${put.ifMatch}`;

/** The answer to an order that was taken before, whatever has come since. */
const knownAnswer = (orders: Orders, put: PutManifest.Named, digest: string): Responses | undefined => {
  const known = Orders.answered(orders, keyOf(put), digest);
  if (!known) return undefined;
  if (known.isSame) return taken(known.revision);
  return put.key === undefined
    ? undefined
    : Responses.fail(409, 'key_reused', 'the idempotency key came with another manifest before');
};

/**
 * The answer in place of a refusal, to an order that may have been taken without a record. It wants a key: without
 * one a refusal must tell the many who hold an old revision that another is current.
 */
const unclearAnswer = (orders: Orders, put: PutManifest.Named): Responses | undefined =>
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
  /** How an order is known when it is sent again. */
  type Named = Pick<PutManifest, 'ifMatch' | 'key'>;
}

export const PutManifest = {
  digestOf,
  knownAnswer,
  unclearAnswer,
  /** Takes the manifest, or says why not. */
  async run(office: PrimaryGateway, put: PutManifest): Promise<Responses> {
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
    const digest = put.digest ?? digestOf(asked);
    const at = new Date().toISOString();
    return office.change(
      (state, stamp) => {
        const known = knownAnswer(state, put, digest);
        if (known) return known;
        const newest = State.newest(state);
        const current = newest?.revision ?? 0;
        if (put.ifMatch !== 0 && !office.isSettled())
          return Responses.unconfirmed('unconfirmed', 'the cores formed anew and ask the nodes', 'no');
        if (current !== put.ifMatch && (put.ifMatch !== 0 || office.isSettled()))
          return (
            unclearAnswer(state, put) ??
            Responses.fail(412, 'stale', `the manifest is at revision ${current}`, { revision: current })
          );
        const changed = WallChange.of(keptDocuments(state), asked, makeSecret);
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
          answer: { key: keyOf(put), digest },
          ...(office.isSettled() ? {} : { isUnsettled: true as const }),
        };
      },
      (_state, change) => taken(change.stamp.revision),
    );
  },
};
