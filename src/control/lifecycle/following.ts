/**
 * The following state of a core: it repairs its store after a failed write, and takes over when the primary is lost or
 * asks for it. The in-sync cores take over in the order in which the term lists them.
 */

import { Epoch } from '../../common/epoch.js';
import { Failure } from '../../common/failure.js';
import { Instant } from '../../common/instant.js';
import { Term } from '../../epoch/term.js';
import type { CoreContext } from './core-context.js';
import type { Leading } from './leading.js';

/** What a following core does. */
export type Following = {
  /** Repairs the store and takes over, where either is due. */
  readonly step: () => Promise<void>;
  /** Forgets since when the primary is lost, because another one is known. */
  readonly reset: () => void;
};

/** How long the link to the primary is down before the first in-sync core takes over, in milliseconds. */
const takeoverDelayMs = 600;
/** How much later each further in-sync core takes over than the one before it, in milliseconds. */
const takeoverStaggerMs = 400;
/** How often a file that failed is rewritten, in milliseconds. */
const repairIntervalMs = 500;

/** How many live in-sync cores take over before this one when the primary is lost. */
const takeoverRank = ({ options }: CoreContext, term: Term): number =>
  term.inSync.slice(0, term.inSync.indexOf(options.register.disk)).filter((disk) => {
    const peer = disk === term.primary ? undefined : Term.core(term, disk);
    return peer !== undefined && options.clientFor(peer)?.downFor() === 0;
  }).length;

const isPrimaryLost = ({ options, isAskedToTakeOver }: CoreContext, term: Term): boolean => {
  const core = Term.core(term, term.primary);
  const client = core && options.clientFor(core);
  return !core || !client?.reaches(core) || client.downFor() > takeoverDelayMs || isAskedToTakeOver;
};

/**
 * Takes over from the primary: first raises the epoch floor, so that no more changes are accepted from the previous
 * primary, then changes the register if it still holds the same term.
 */
const takeOver = async (context: CoreContext, from: Term, leading: Leading): Promise<void> => {
  const { register, store, proposer } = context.options;
  register.raiseFloor(Epoch.after(from.epoch));
  await store.idle();
  const { isDone, term, ballot } = await proposer.change((base) =>
    Term.isSame(base, from) && Term.isInSync(base, register.disk)
      ? Term.next(base, { primary: register.disk })
      : undefined,
  );
  context.knownTerm.learn(term, ballot);
  if (isDone && term) await leading.begin(term, ballot);
};

/** Creates the following state of a core. */
export const Following = {
  of(context: CoreContext, leading: Leading): Following {
    const { register, store, note } = context.options;
    let primaryLostSince: Instant | undefined;
    let lastRepairAt = Instant.past;
    const repair = () => {
      if (store.isHealthy() || Instant.since(lastRepairAt) <= repairIntervalMs) return;
      lastRepairAt = Instant.now();
      void store.recover().catch((error) => note('own disk failure', { why: Failure.text(error) }));
    };
    const isNext = (term: Term): boolean => {
      primaryLostSince = isPrimaryLost(context, term) ? (primaryLostSince ?? Instant.now()) : undefined;
      return (
        primaryLostSince !== undefined &&
        Instant.since(primaryLostSince) >= takeoverRank(context, term) * takeoverStaggerMs
      );
    };
    return {
      reset() {
        primaryLostSince = undefined;
      },
      async step() {
        repair();
        const term = context.knownTerm.term();
        if (!term || !Term.isInSync(term, register.disk) || !store.isHealthy() || context.isLeaving) return;
        if (term.primary !== register.disk) {
          if (!isNext(term)) return;
          note('taking over', { from: Term.core(term, term.primary)?.node });
        }
        await takeOver(context, term, leading);
      },
    };
  },
};
