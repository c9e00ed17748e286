// One core's part of the register: what it has promised and accepted, synced before every answer. A
// blank core, which remembers nothing, gives no promise; it begins to vote only by accepting a tenure
// that lists its very disk and that is chosen: were it to help choose the one that brings it in, a majority
// of the cores before and one of those after could do without each other. The file keeps the last record and is rewritten when it gets long.
import { randomUUID } from 'node:crypto';
import { Epoch } from '../kinds/epoch.js';
import { Turns } from '../kinds/turns.js';
import type { File } from '../store/file.js';
import { Ballot } from './ballot.js';
import { Tenure } from './tenure.js';

export type Register = {
  readonly disk: string;
  readonly isBlank: () => boolean;
  readonly promised: () => Ballot;
  readonly accepted: () => Ballot;
  readonly tenure: () => Tenure | null;
  readonly prepare: (ballot: Ballot, isForming?: boolean) => Promise<boolean>;
  readonly accept: (ballot: Ballot, tenure: Tenure, isChosen?: boolean) => Promise<boolean>;
  readonly floor: () => Epoch;
  readonly raise: (epoch: Epoch) => void;
  readonly watch: (see: (tenure: Tenure) => void) => () => void;
};

type Kept = {
  readonly disk: string;
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly tenure: Tenure | null;
};

const longest = 256 * 1024;

export const Register = {
  async open(file: File): Promise<Register> {
    const last = file.payloads.at(-1);
    let kept: Kept = last
      ? (JSON.parse(last.toString('utf8')) as Kept)
      : { disk: randomUUID(), promised: Ballot.none, accepted: Ballot.none, tenure: null };
    let floor = kept.tenure?.epoch ?? Epoch.none;
    const turns = Turns.of();
    const watchers = new Set<(tenure: Tenure) => void>();
    const keep = async (next: Kept) => {
      const bytes = Buffer.from(JSON.stringify(next));
      if (file.length() > longest || file.isBroken()) await file.rewrite([bytes]);
      else await file.append(bytes);
      kept = next;
    };
    if (!last) await keep(kept);
    return {
      disk: kept.disk,
      isBlank: () => kept.tenure === null,
      promised: () => kept.promised,
      accepted: () => kept.accepted,
      tenure: () => kept.tenure,
      floor: () => floor,
      raise(epoch) {
        if (epoch > floor) floor = epoch;
      },
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
      prepare: (ballot, isForming = false) =>
        turns.take(async () => {
          if (kept.tenure === null && !isForming) return false;
          if (Ballot.compare(ballot, kept.promised) <= 0) return false;
          await keep({ ...kept, promised: ballot });
          return true;
        }),
      accept: (ballot, tenure, isChosen = false) =>
        turns.take(async () => {
          if (kept.tenure === null && !isChosen) return false;
          if (!Tenure.has(tenure, kept.disk)) return false;
          if (Ballot.compare(ballot, kept.promised) < 0) return false;
          if (Ballot.compare(ballot, kept.accepted) === 0) return true;
          await keep({ ...kept, promised: ballot, accepted: ballot, tenure });
          if (tenure.epoch > floor) floor = tenure.epoch;
          for (const see of [...watchers]) see(tenure);
          return true;
        }),
    };
  },
};
