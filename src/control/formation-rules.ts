/**
 * When and how cores form a new cluster. They may only when too few cores can still hold the register: a core of the newest
 * term that is merely silent may return with its disk and counts as a holder; one whose address answers with another
 * disk is lost. Where all cores are blank they may form: at once at the very first start or when every seed answers,
 * else only after a wait, since a silent seed may hold a register.
 */

import { Epoch } from '../common/epoch.js';
import { Stamp } from '../common/stamp.js';
import { Term } from '../epoch/term.js';
import { Vote } from '../epoch/vote.js';
import type { Frame } from '../wire/frame.js';

/** The rules that decide from a round of votes whether and how the cores form. */
export type FormationRules = {
  /** How many cores a cluster has. */
  readonly clusterSize: number;
  /** Whether too few cores can still hold the register, so that forming loses nothing that others hold. */
  readonly isAllowed: (votes: readonly Vote[]) => boolean;
  /** Whether forming needs no wait for silent seeds. */
  readonly isCertain: (votes: readonly Vote[]) => boolean;
  /** The disk of the core that is to form first; the others wait for it. */
  readonly initiatorDisk: (votes: readonly Vote[]) => string | undefined;
  /** The term to propose. */
  readonly buildTerm: (votes: readonly Vote[]) => Term;
};

type Votes = readonly Vote[];

const { remembering } = Vote;

/** Creates the rules for a cluster that tolerates `losses` lost cores. */
export const FormationRules = {
  /**
   * A listed core that answers with its own disk counts as a holder, even when it is blank: it is a newcomer that has
   * not received its term yet, and the term that lists it may be held by its proposer alone and never be chosen. The
   * core whose slot it was to take may then be silent and still hold the register.
   */
  of(options: {
    readonly losses: number;
    readonly isInitial: boolean;
    readonly seeds: readonly string[];
  }): FormationRules {
    const size = 2 * options.losses + 1;
    const selectCores = (votes: Votes): Vote[] =>
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
        const hasAnswered = ({ disk }: Frame.Core) => votes.some((vote) => vote.core.disk === disk);
        const isSilent = ({ disk, wire }: Frame.Core) =>
          wire !== '' && !votes.some(({ core }) => core.disk === disk || core.wire === wire);
        const possibleHolders = newest.cores.filter((core) => hasAnswered(core) || isSilent(core));
        const inSyncHolders = possibleHolders.filter((core) => Term.isInSync(newest, core.disk));
        const isMajorityLost =
          possibleHolders.length < Term.majority(newest) && !inSyncHolders.some(isSilent);
        return isMajorityLost || inSyncHolders.length === 0;
      },
      isCertain: (votes) =>
        options.isInitial ||
        remembering(votes).length > 0 ||
        options.seeds.every((seed) => votes.some(({ core }) => core.wire === seed)),
      initiatorDisk: (votes) => selectCores(votes)[0]?.core.disk,
      buildTerm(votes) {
        const newestHolder = selectCores(votes).sort(
          (a, b) =>
            Number(b.isAble) - Number(a.isAble) ||
            Stamp.compare(b.held, a.held) ||
            (a.core.disk < b.core.disk ? -1 : 1),
        )[0]!;
        const highest = Math.max(...votes.flatMap((vote) => [vote.highest, vote.term?.epoch ?? 0]));
        const epoch = Epoch.after(Epoch.of(highest));
        const cores = selectCores(votes).map((vote) => vote.core);
        const missing = Array.from({ length: size - cores.length }, (_none, index) => ({
          disk: `missing-${index + 1}`,
          node: '',
          wire: '',
          http: '',
        }));
        return {
          epoch,
          formed: epoch,
          primary: newestHolder.core.disk,
          inSync: [newestHolder.core.disk],
          cores: [...cores, ...missing],
        };
      },
    };
  },
};
