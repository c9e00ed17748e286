// One core's part of the register: what it has promised and accepted, synced before every answer. A
// blank core, which remembers nothing, gives no promise; it begins to vote only by accepting a term
// that lists its very disk and that is chosen: were it to help choose the one that brings it in, a majority
// of the cores before and one of those after could do without each other. The file keeps the last record and is rewritten when it gets long.
import { randomUUID } from 'node:crypto';
import { Epoch } from '../kinds/epoch.js';
import { Turns } from '../kinds/turns.js';
import type { File } from '../store/file.js';
import { Ballot } from './ballot.js';
import { Term } from './term.js';

export type Register = {
  readonly disk: string;
  readonly isBlank: () => boolean;
  readonly promised: () => Ballot;
  readonly accepted: () => Ballot;
  readonly term: () => Term | null;
  readonly prepare: (ballot: Ballot, isForming?: boolean) => Promise<boolean>;
  readonly accept: (ballot: Ballot, term: Term, isChosen?: boolean) => Promise<boolean>;
  readonly floor: () => Epoch;
  readonly raise: (epoch: Epoch) => void;
  readonly watch: (see: (term: Term) => void) => () => void;
};

type Kept = {
  readonly disk: string;
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly term: Term | null;
};

const longest = 256 * 1024;

// On disk the term keeps the name that it had in the first versions, so that old and new programs read each other's files.
const pack = ({ term, ...others }: Kept): Buffer => Buffer.from(JSON.stringify({ ...others, tenure: term }));
const unpack = (bytes: Buffer): Kept => {
  const { tenure, ...others } = JSON.parse(bytes.toString('utf8')) as Omit<Kept, 'term'> & {
    readonly tenure: Term | null;
  };
  return { ...others, term: tenure };
};

export const Register = {
  async open(file: File): Promise<Register> {
    const last = file.payloads.at(-1);
    let kept: Kept = last
      ? unpack(last)
      : { disk: randomUUID(), promised: Ballot.none, accepted: Ballot.none, term: null };
    let floor = kept.term?.epoch ?? Epoch.none;
    const turns = Turns.of();
    const watchers = new Set<(term: Term) => void>();
    const keep = async (next: Kept) => {
      const bytes = pack(next);
      if (file.length() > longest || file.isBroken()) await file.rewrite([bytes]);
      else await file.append(bytes);
      kept = next;
    };
    if (!last) await keep(kept);
    return {
      disk: kept.disk,
      isBlank: () => kept.term === null,
      promised: () => kept.promised,
      accepted: () => kept.accepted,
      term: () => kept.term,
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
          if (kept.term === null && !isForming) return false;
          if (Ballot.compare(ballot, kept.promised) <= 0) return false;
          await keep({ ...kept, promised: ballot });
          return true;
        }),
      accept: (ballot, term, isChosen = false) =>
        turns.take(async () => {
          if (kept.term === null && !isChosen) return false;
          if (!Term.has(term, kept.disk)) return false;
          if (Ballot.compare(ballot, kept.promised) < 0) return false;
          if (Ballot.compare(ballot, kept.accepted) === 0) return true;
          await keep({ ...kept, promised: ballot, accepted: ballot, term });
          if (term.epoch > floor) floor = term.epoch;
          for (const see of [...watchers]) see(term);
          return true;
        }),
    };
  },
};
