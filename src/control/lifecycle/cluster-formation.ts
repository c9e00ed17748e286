/**
 * Forming the cores, where too few of them can still hold the register: automatically, once that is certain and the
 * initiating core has had its chance, or by an operator's command, which gives up the state that only missing cores
 * hold.
 */

import { Instant } from '../../common/instant.js';
import { Term } from '../../epoch/term.js';
import { Vote } from '../../epoch/vote.js';
import type { FormationRules } from '../formation-rules.js';
import type { CoreContext } from './core-context.js';

/** How a core forms a new cluster with the others. */
export type ClusterFormation = {
  /** Runs the next step of forming if the cores may form; resolves to false if they may not. */
  readonly step: () => Promise<boolean>;
  /** Forms by an operator's command; resolves to the reason if it was not done, else to an empty string. */
  readonly force: () => Promise<string>;
};

/** How long a core waits for the initiating core before it forms itself, in milliseconds. */
const initiatorTimeoutMs = 1500;
/** How long blank cores wait for a silent seed, which may still hold a register, in milliseconds. */
const silentSeedWaitMs = 4000;

/** Creates the forming of a core. */
export const ClusterFormation = {
  of(context: CoreContext, rules: FormationRules): ClusterFormation {
    const { register, proposer, losses, alert, note } = context.options;
    let formableSince: Instant | undefined;
    const tryForm = async () => {
      formableSince ??= Instant.now();
      const isMine = rules.initiatorDisk(context.votes) === register.disk;
      const wait =
        (rules.isCertain(context.votes) ? 0 : silentSeedWaitMs) + (isMine ? 0 : initiatorTimeoutMs);
      if (Instant.since(formableSince) < wait) return;
      const formed = await proposer.form(
        (grants) => (rules.isAllowed(grants) ? rules.buildTerm(grants) : undefined),
        rules.clusterSize,
      );
      if (formed) note('the cores formed a new cluster', { term: Term.text(formed) });
      await context.collectVotes();
    };
    return {
      async step() {
        if (!rules.isAllowed(context.votes)) {
          formableSince = undefined;
          return false;
        }
        await tryForm();
        return true;
      },
      async force() {
        await context.collectVotes();
        const { votes } = context;
        const least = losses + 1;
        if (votes.length < least) return `fewer than ${least} cores answer`;
        if (rules.isAllowed(votes)) return 'the cores form by themselves: there is nothing to force';
        const newest = Vote.newest(votes)?.term;
        if (newest && Vote.remembering(votes).length >= Term.majority(newest))
          return 'a majority remembers: there is nothing to force';
        const formed = await proposer.form(rules.buildTerm, least);
        if (!formed) return 'the cores did not agree; try again';
        alert('FORMED BY COMMAND WITHOUT A MAJORITY; state that only missing cores held is lost', {
          term: Term.text(formed),
        });
        return '';
      },
    };
  },
};
