// When and how cores form anew. They may only where too few can still remember: a core of the newest term
// that is merely silent may return with its disk and counts as one that remembers; one whose place another
// disk answers from is lost. Where all are blank they may form, surely at the very first start or when every
// seed answers; else only after a while, for a silent seed may remember.

import { Epoch } from '../common/epoch.js';
import { Stamp } from '../common/stamp.js';
import { Term } from '../epoch/term.js';
import { Vote } from '../epoch/vote.js';
import type { Frame } from '../wire/frame.js';

export type FormationRules = {
  readonly clusterSize: number;
  readonly isAllowed: (votes: readonly Vote[]) => boolean;
  readonly isCertain: (votes: readonly Vote[]) => boolean;
  readonly initiatorDisk: (votes: readonly Vote[]) => string | undefined;
  readonly buildTerm: (votes: readonly Vote[]) => Term;
};

type Votes = readonly Vote[];

const { remembering } = Vote;

export const FormationRules = {
  /**
   * A listed core whose very disk answers counts as one that remembers, also when it is blank: it is a newcomer that was not
   * told yet, and the term that lists it may be held by its proposer alone and never be chosen. The core whose
   * slot it was to take may then be silent and remember.
   */
  of(needs: {
    readonly losses: number;
    readonly isInitial: boolean;
    readonly seeds: readonly string[];
  }): FormationRules {
    const size = 2 * needs.losses + 1;
    const chosen = (votes: Votes): Vote[] =>
      [...votes]
        .sort(
          (a, b) =>
            Number(a.isBlank) - Number(b.isBlank) ||
            Vote.compare(b, a) ||
            (a.core.disk < b.core.disk ? -1 : 1),
        )
        .slice(0, size);
    return {
      clusterSize: size,
      isAllowed(votes) {
        if (votes.length < size) return false;
        const newest = Vote.newest(remembering(votes))?.term;
        if (!newest) return true;
        const isPeer = ({ disk }: Frame.Core) => votes.some((vote) => vote.core.disk === disk);
        const isAway = ({ disk, wire }: Frame.Core) =>
          wire !== '' && !votes.some(({ core }) => core.disk === disk || core.wire === wire);
        const left = newest.cores.filter((core) => isPeer(core) || isAway(core));
        const holders = left.filter((core) => Term.isInSync(newest, core.disk));
        const isLost = left.length < Term.majority(newest) && !holders.some(isAway);
        return isLost || holders.length === 0;
      },
      isCertain: (votes) =>
        needs.isInitial ||
        remembering(votes).length > 0 ||
        needs.seeds.every((seed) => votes.some(({ core }) => core.wire === seed)),
      initiatorDisk: (votes) => chosen(votes)[0]?.core.disk,
      buildTerm(votes) {
        const best = chosen(votes).sort(
          (a, b) =>
            Number(b.isAble) - Number(a.isAble) ||
            Stamp.compare(b.held, a.held) ||
            (a.core.disk < b.core.disk ? -1 : 1),
        )[0]!;
        const highest = Math.max(...votes.flatMap((vote) => [vote.highest, vote.term?.epoch ?? 0]));
        const epoch = Epoch.after(Epoch.of(highest));
        const cores = chosen(votes).map((vote) => vote.core);
        const missing = Array.from({ length: size - cores.length }, (_none, index) => ({
          disk: `missing-${index + 1}`,
          node: '',
          wire: '',
          http: '',
        }));
        return {
          epoch,
          formed: epoch,
          primary: best.core.disk,
          inSync: [best.core.disk],
          cores: [...cores, ...missing],
        };
      },
    };
  },
};
