/**
 * One core's acceptor of the register, kept in an append-only file: what it has promised and accepted is synced before
 * each answer. The last record of the file is the state; the file is rewritten when it gets long.
 *
 * A blank core, which has accepted no term yet, gives no promise. It begins to vote only by accepting a term that
 * lists its disk and is already chosen. If it could help to choose the term that adds it, a majority of the cores of
 * the term before and a majority of those of the term after could act independently of each other.
 *
 * The floor is the epoch below which requests of a primary are refused. It survives a restart without a sync of its
 * own:
 * - Raised by a takeover, it is in the record of the promise that the proposer gives itself before any other core
 *   can accept the new term.
 * - Raised by an appended change, it is the epoch of that change's stamp, which the state's own file keeps; `Folder`
 *   raises the floor to it when both files are opened. An append that was refused has left nothing that a later
 *   one could contradict.
 * - Raised by an accepted term, it is in that term's record.
 */
import { randomUUID } from 'node:crypto';
import { Epoch } from '../common/epoch.js';
import { Mutex } from '../common/mutex.js';
import type { File } from '../store/file.js';
import { Acceptor } from './acceptor.js';
import { Ballot } from './ballot.js';
import type { Term } from './term.js';

/** The acceptor of one core. */
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
  /** Calls the listener with each accepted term, until the returned function is called. */
  readonly watch: (listener: (term: Term) => void) => () => void;
};

/** The file is rewritten once it is longer. */
const maxFileBytes = 256 * 1024;

// On disk the term keeps the name of the first versions, so that old and new programs can read each other's files.
const encode = ({ term, ...others }: Acceptor): Buffer =>
  Buffer.from(JSON.stringify({ ...others, tenure: term }));
const decode = (bytes: Buffer): Acceptor => {
  const { tenure, ...others } = JSON.parse(bytes.toString('utf8')) as Omit<Acceptor, 'term' | 'floor'> & {
    readonly tenure: Term | null;
    readonly floor?: Epoch;
  };
  const state: Acceptor = { ...others, term: tenure, floor: others.floor ?? Epoch.none };
  return Acceptor.raiseFloor(state, state.term?.epoch ?? Epoch.none);
};

const blankState = (): Acceptor => ({
  disk: randomUUID(),
  promised: Ballot.none,
  accepted: Ballot.none,
  term: null,
  floor: Epoch.none,
});

/** Opens registers. */
export const Register = {
  /** Opens the register of a file; an empty file becomes a blank register under a new disk id. */
  async open(file: File): Promise<Register> {
    const last = file.payloads.at(-1);
    let state = last ? decode(last) : blankState();
    const turns = Mutex.of();
    const listeners = new Set<(term: Term) => void>();
    const persist = async (next: Acceptor) => {
      const bytes = encode(next);
      if (file.length() > maxFileBytes || file.isBroken()) await file.rewrite([bytes]);
      else await file.append(bytes);
      // The floor may have been raised during the write.
      state = Acceptor.raiseFloor(next, state.floor);
    };
    if (!last) await persist(state);
    return {
      disk: state.disk,
      isBlank: () => state.term === null,
      promised: () => state.promised,
      accepted: () => state.accepted,
      term: () => state.term,
      floor: () => state.floor,
      raiseFloor(epoch) {
        state = Acceptor.raiseFloor(state, epoch);
      },
      watch(listener) {
        listeners.add(listener);
        return () => void listeners.delete(listener);
      },
      prepare: (ballot, isForming = false) =>
        turns.runExclusive(async () => {
          const next = Acceptor.prepare(state, ballot, isForming);
          if (!next) return false;
          await persist(next);
          return true;
        }),
      accept: (ballot, term, isChosen = false) =>
        turns.runExclusive(async () => {
          const next = Acceptor.accept(state, ballot, term, isChosen);
          if (!next) return false;
          if (next === state) return true;
          await persist(next);
          for (const listener of [...listeners]) listener(term);
          return true;
        }),
    };
  },
};
