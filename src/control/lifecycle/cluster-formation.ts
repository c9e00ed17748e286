// Forming anew, where too few of the cores can still remember: by themselves, once that is sure and the one
// whose turn it is had the time, or by an operator's order, who then gives up what only the missing held.

import { Instant } from '../../common/instant.js';
import { Term } from '../../epoch/term.js';
import { Vote } from '../../epoch/vote.js';
import type { FormationRules } from '../formation-rules.js';
import type { CoreContext } from './core-context.js';

export type ClusterFormation = {
  /** Takes the next step of forming where the cores may form; false where they may not. */
  readonly step: () => Promise<boolean>;
  /** Forms by an operator's order; resolves to why it was not done, or to nothing. */
  readonly force: () => Promise<string>;
};

/** How long a core waits for the one that is to form before it forms itself, in milliseconds. */
const formAnywayAfter = 1500;
/** How long all blank cores wait for a silent seed, which may remember. */
const silentSeedsFor = 4000;

export const ClusterFormation = {
  of(life: CoreContext, forming: FormationRules): ClusterFormation {
    const { register, proposer, losses, alert } = life.options;
    let formableSince: Instant | undefined;
    const form = async () => {
      formableSince ??= Instant.now();
      const isMine = forming.initiatorDisk(life.votes) === register.disk;
      const wait = (forming.isCertain(life.votes) ? 0 : silentSeedsFor) + (isMine ? 0 : formAnywayAfter);
      if (Instant.since(formableSince) < wait) return;
      const formed = await proposer.form(
        (grants) => (forming.isAllowed(grants) ? forming.buildTerm(grants) : undefined),
        forming.clusterSize,
      );
      if (formed) alert('the cores formed anew', { term: Term.text(formed) });
      await life.collectVotes();
    };
    return {
      async step() {
        if (!forming.isAllowed(life.votes)) {
          formableSince = undefined;
          return false;
        }
        await form();
        return true;
      },
      async force() {
        await life.collectVotes();
        const { votes } = life;
        const least = losses + 1;
        if (votes.length < least) return `fewer than ${least} cores answer`;
        if (forming.isAllowed(votes)) return 'the cores form by themselves: there is nothing to force';
        const newest = Vote.newest(votes)?.term;
        if (newest && Vote.remembering(votes).length >= Term.majority(newest))
          return 'a majority remembers: there is nothing to force';
        const formed = await proposer.form(forming.buildTerm, least);
        if (!formed) return 'the cores did not agree; try again';
        alert('TOO FEW CORES WERE FORCED TO FORM; what only the missing held is lost', {
          term: Term.text(formed),
        });
        return '';
      },
    };
  },
};
