/**
 * One copy of the usage horizon, at each core: the most of each quota that the holder of the quota duty may have leased to
 * proxies. A holder leases no more than a majority of the cores has stored, so its successor, which asks a majority, knows a bound
 * of what is out, after a loss of all power as well: a copy is saved before it is acknowledged. It follows the newest holder
 * only, and a core that has lost it says so.
 */
import { Mutex } from '../common/mutex.js';
import type { Frame } from '../wire/frame.js';

/** A copy of the horizon. */
export type HorizonReplica = {
  /** Handles a read or a write and returns the reply; rejects if it can't be saved. */
  readonly handle: (message: Frame.Horizon) => Promise<Frame.Horizon>;
};

/** What it needs from the core. */
export declare namespace HorizonReplica {
  type Dependencies = {
    readonly own: string;
    /** The epoch of the newest term that this core knows; 0 if it knows none. */
    readonly epoch: () => number;
    /** Whether this core has taken part since the cluster was formed, so that it has missed nothing. */
    readonly hasTakenPartAlways: () => boolean;
    /** The write that was saved last. */
    readonly saved?: Frame.Horizon | undefined;
    readonly save: (write: Frame.Horizon) => Promise<void>;
  };
}

const noBallot: Frame.HorizonBallot = { epoch: 0, round: 0, node: '' };

const compare = (a: Frame.HorizonBallot, b: Frame.HorizonBallot): number =>
  a.epoch - b.epoch || a.round - b.round || (a.node < b.node ? -1 : a.node > b.node ? 1 : 0);

/** Whether a write says no more than an earlier one of the same holder. */
const isSameHorizon = (a: Frame.Horizon, b: Frame.Horizon): boolean =>
  compare(a.ballot, b.ballot) === 0 &&
  a.isOpen === b.isOpen &&
  JSON.stringify(a.bounds) === JSON.stringify(b.bounds);

/** Creates a copy. */
export const HorizonReplica = {
  noBallot,
  compare,
  isReply: ({ step }: Frame.Horizon): boolean => step === 'state' || step === 'written',
  of({ own, epoch, hasTakenPartAlways, saved, save }: HorizonReplica.Dependencies): HorizonReplica {
    const turns = Mutex.of();
    let accepted = saved;
    let promised = saved?.ballot ?? noBallot;
    const isOutdated = (ballot: Frame.HorizonBallot): boolean =>
      ballot.epoch < epoch() || compare(ballot, promised) < 0;
    const accept = async (write: Frame.Horizon): Promise<void> => {
      const isSame = accepted !== undefined && isSameHorizon(accepted, write);
      if (!isSame) await save(write);
      accepted = write;
    };
    const handle = async (message: Frame.Horizon): Promise<Frame.Horizon> => {
      const { step, ballot, serial } = message;
      const isTaken = !isOutdated(ballot);
      if (isTaken) promised = ballot;
      if (isTaken && step === 'write') await accept(message);
      const reply = { kind: 'horizon', node: own, ballot, serial, isTaken, promised } as const;
      const isWhole = accepted !== undefined || hasTakenPartAlways();
      if (step === 'write')
        return { ...reply, step: 'written', isWhole, acceptedSerial: 0, bounds: [], isOpen: false };
      const { bounds = [], isOpen = false } = accepted ?? {};
      const of = { accepted: accepted?.ballot ?? noBallot, acceptedSerial: accepted?.serial ?? 0 };
      return { ...reply, step: 'state', isWhole, bounds, isOpen, ...of };
    };
    return { handle: (message) => turns.runExclusive(() => handle(message)) };
  },
};
