// One core's part of the register: what it has promised and accepted, synced before every answer. A
// blank core, which remembers nothing, gives no promise; it begins to vote only by accepting a term
// that lists its very disk and that is chosen: were it to help choose the one that brings it in, a majority
// of the cores before and one of those after could do without each other. The file keeps the last record and
// is rewritten when it gets long.
//
// The floor is the epoch below which nothing is taken from a primary. It lasts through a restart without a
// sync of its own. Raised by a claim, it goes into the record of the promise that the claim gives itself
// before any other core can accept the claimed term. Raised by an appended change, it is the epoch of that
// change's stamp, which the state's own file keeps (`Folder` raises the floor to it when both are opened); an
// append that was refused has left nothing that a later one could contradict. Raised by an accepted term, it
// is in that term's record.
import { randomUUID } from 'node:crypto';
import { Epoch } from '../kinds/epoch.js';
import { Turns } from '../kinds/turns.js';
import type { File } from '../store/file.js';
import { Acceptor } from './acceptor.js';
import { Ballot } from './ballot.js';
import type { Term } from './term.js';

export type Register = {
  readonly disk: string;
  readonly isBlank: () => boolean;
  readonly promised: () => Ballot;
  readonly accepted: () => Ballot;
  readonly term: () => Term | null;
  readonly prepare: (ballot: Ballot, isForming?: boolean) => Promise<boolean>;
  readonly accept: (ballot: Ballot, term: Term, isChosen?: boolean) => Promise<boolean>;
  readonly floor: () => Epoch;
  readonly raiseFloor: (epoch: Epoch) => void;
  readonly watch: (see: (term: Term) => void) => () => void;
};

const longest = 256 * 1024;

// On disk the term keeps the name that it had in the first versions, so that old and new programs read each other's files.
const pack = ({ term, ...others }: Acceptor): Buffer =>
  Buffer.from(JSON.stringify({ ...others, tenure: term }));
const unpack = (bytes: Buffer): Acceptor => {
  const { tenure, ...others } = JSON.parse(bytes.toString('utf8')) as Omit<Acceptor, 'term' | 'floor'> & {
    readonly tenure: Term | null;
    readonly floor?: Epoch;
  };
  const kept: Acceptor = { ...others, term: tenure, floor: others.floor ?? Epoch.none };
  return Acceptor.raiseFloor(kept, kept.term?.epoch ?? Epoch.none);
};

const blank = (): Acceptor => ({
  disk: randomUUID(),
  promised: Ballot.none,
  accepted: Ballot.none,
  term: null,
  floor: Epoch.none,
});

export const Register = {
  async open(file: File): Promise<Register> {
    const last = file.payloads.at(-1);
    let kept = last ? unpack(last) : blank();
    const turns = Turns.of();
    const watchers = new Set<(term: Term) => void>();
    const keep = async (next: Acceptor) => {
      const bytes = pack(next);
      if (file.length() > longest || file.isBroken()) await file.rewrite([bytes]);
      else await file.append(bytes);
      kept = Acceptor.raiseFloor(next, kept.floor);
    };
    if (!last) await keep(kept);
    return {
      disk: kept.disk,
      isBlank: () => kept.term === null,
      promised: () => kept.promised,
      accepted: () => kept.accepted,
      term: () => kept.term,
      floor: () => kept.floor,
      raiseFloor(epoch) {
        kept = Acceptor.raiseFloor(kept, epoch);
      },
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
      prepare: (ballot, isForming = false) =>
        turns.take(async () => {
          const next = Acceptor.prepare(kept, ballot, isForming);
          if (!next) return false;
          await keep(next);
          return true;
        }),
      accept: (ballot, term, isChosen = false) =>
        turns.take(async () => {
          const next = Acceptor.accept(kept, ballot, term, isChosen);
          if (!next) return false;
          if (next === kept) return true;
          await keep(next);
          for (const see of [...watchers]) see(term);
          return true;
        }),
    };
  },
};
