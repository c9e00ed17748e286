/**
 * Replaces the manifest under the operator's own number, which increases with each manifest. The base is the number to
 * replace; of two requests on the same base only one is taken. A request that was taken before, with the same number and digest,
 * is answered as taken, also after newer ones. One that may have been taken without a record gets a response that leaves open
 * whether it was. Evacuations are kept, since they are changed by a command of their own.
 */

import { Check } from '../../manifest/check.js';
import type { Document } from '../../manifest/document.js';
import { TeamChange } from '../../manifest/team-change.js';
import { Orders } from '../../store/orders.js';
import { State } from '../../store/state.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import { Responses } from '../responses.js';

/** A request to replace the manifest that has the number `base`. */
export type PutNumbered = {
  readonly base: number;
  readonly document: Document & { readonly source: Document.Source };
};

/** How many teams an entry of the audit log names. */
const maxTeamsNamed = 20;

const summarize = (lines: readonly string[]): readonly string[] => {
  const rest = lines.length - maxTeamsNamed;
  return rest > 0 ? [...lines.slice(0, maxTeamsNamed), `${rest} more teams`] : lines;
};

/** The author that the audit log names. */
const by = 'operator';

/** The command that replaces the manifest under a number. */
export const PutNumbered = {
  /** Takes the manifest, or answers why it was refused. */
  async run(gateway: PrimaryGateway, { base, document }: PutNumbered): Promise<Responses> {
    const checked = Check.manifest(document);
    if (checked.kind === 'bad')
      return Responses.fail(400, 'invalid_manifest', 'the manifest was not taken', {
        findings: checked.findings,
      });
    const { number, digest } = document.source;
    const key = `number ${number}`;
    const uncertain = Responses.unconfirmed(
      'unconfirmed',
      `number ${number} may have been taken before the record of orders begins`,
      'unknown',
    );
    const taken: Responses = { status: 200, body: { number } };
    const at = new Date().toISOString();
    return gateway.change(
      (state, stamp) => {
        if (!gateway.isSettled())
          return Responses.unconfirmed('unconfirmed', 'the cores formed anew and ask the nodes', 'no');
        const newest = State.newest(state)?.document;
        const current = newest?.source?.number ?? 0;
        const known = Orders.numberStatus(state, number, digest);
        const isTaken = known === 'taken';
        if (isTaken) return taken;
        const isRefused = base !== current || number <= current;
        if (isRefused && known === 'missing') return uncertain;
        if (base !== current)
          return Responses.fail(412, 'stale', `number ${current} is in place`, { number: current });
        if (number <= current)
          return Responses.fail(400, 'number_not_above', `the number must be above ${current}`, {
            findings: [{ place: '/source/number', text: `must be above ${current}` }],
          });
        const { evacuations } = newest ?? {};
        const teamChange = TeamChange.of(newest, document);
        return {
          kind: 'manifest',
          stamp,
          document: evacuations ? { ...document, evacuations } : document,
          by,
          at,
          what: [`manifest ${number} put`, ...summarize(teamChange.lines)].join('; '),
          teams: teamChange.teams.slice(0, maxTeamsNamed),
          answer: { key, digest },
        };
      },
      () => taken,
    );
  },
};
