// A core that follows: it mends its file after a failed write, and takes over when the primary is lost or
// asks for it, in the order in which the term lists the cores in sync.

import { Epoch } from '../../common/epoch.js';
import { Failure } from '../../common/failure.js';
import { Instant } from '../../common/instant.js';
import { Term } from '../../epoch/term.js';
import type { CoreContext } from './core-context.js';
import type { Leading } from './leading.js';

export type Following = {
  readonly step: () => Promise<void>;
  /** Forgets since when the primary is missed, for another one is known. */
  readonly reset: () => void;
};

/** How long the link to the primary is down before the first core in sync takes over, in milliseconds. */
const takeOverAfter = 600;
/** How much later than the one before it each further core in sync takes over. */
const nextAfter = 400;
/** How often a file that failed is written anew. */
const mendEvery = 500;

/** How many live cores in sync go before this one, when the primary is lost. */
const rankIn = ({ options: needs }: CoreContext, term: Term): number =>
  term.inSync.slice(0, term.inSync.indexOf(needs.register.disk)).filter((disk) => {
    const peer = disk === term.primary ? undefined : Term.core(term, disk);
    return peer !== undefined && needs.clientFor(peer)?.downFor() === 0;
  }).length;

const isPrimaryLost = ({ options: needs, isAskedToTakeOver }: CoreContext, term: Term): boolean => {
  const core = Term.core(term, term.primary);
  const courier = core && needs.clientFor(core);
  return !core || !courier?.reaches(core) || courier.downFor() > takeOverAfter || isAskedToTakeOver;
};

/**
 * Takes the primary's place: raises the floor first, so that nothing more is taken from the primary of
 * before, then changes the register, if that still holds the very term that is taken over from.
 */
const claim = async (life: CoreContext, from: Term, leading: Leading): Promise<void> => {
  const { register, store, proposer } = life.options;
  register.raise(Epoch.after(from.epoch));
  await store.idle();
  const { isDone, term, ballot } = await proposer.change((base) =>
    Term.isSame(base, from) && Term.isInSync(base, register.disk)
      ? Term.next(base, { primary: register.disk })
      : undefined,
  );
  life.knownTerm.learn(term, ballot);
  if (isDone && term) await leading.begin(term, ballot);
};

export const Following = {
  of(life: CoreContext, leading: Leading): Following {
    const { register, store, note } = life.options;
    let missedSince: Instant | undefined;
    let mendedAt = Instant.past;
    const mend = () => {
      if (store.isSound() || Instant.since(mendedAt) <= mendEvery) return;
      mendedAt = Instant.now();
      void store.mend().catch((error) => note('own disk failure', { why: Failure.text(error) }));
    };
    const isNext = (term: Term): boolean => {
      missedSince = isPrimaryLost(life, term) ? (missedSince ?? Instant.now()) : undefined;
      return missedSince !== undefined && Instant.since(missedSince) >= rankIn(life, term) * nextAfter;
    };
    return {
      reset() {
        missedSince = undefined;
      },
      async step() {
        mend();
        const term = life.knownTerm.term();
        if (!term || !Term.isInSync(term, register.disk) || !store.isSound() || life.isLeaving) return;
        if (term.primary !== register.disk) {
          if (!isNext(term)) return;
          note('taking over', { from: Term.core(term, term.primary)?.node });
        }
        await claim(life, term, leading);
      },
    };
  },
};
