// When a core that is about to end asks for its release: at once where enough others are able, a little later where
// some are not heard yet, and never where too few can take part.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { CoreContext } from '../src/control/lifecycle/core-context.js';
import type { Joining } from '../src/control/lifecycle/joining.js';
import { Leaving } from '../src/control/lifecycle/leaving.js';
import type { Term } from '../src/epoch/term.js';
import type { Vote } from '../src/epoch/vote.js';

const own = 'disk-1';
const disks = [own, 'disk-2', 'disk-3'];
const coreOf = (disk: string) => ({ disk, node: disk, wire: '', http: '' });
const term = {
  epoch: 4,
  formed: 1,
  primary: 'disk-2',
  inSync: ['disk-2', own],
  cores: disks.map(coreOf),
} as unknown as Term;

/** How long it may take where others are waited for in vain, in milliseconds: less than the whole time to leave. */
const endsWithin = 2000;

type Heard = { readonly disk: string; readonly isAble?: boolean; readonly isBlank?: boolean };

const voteOf = ({ disk, isAble = true, isBlank = false }: Heard) =>
  ({ core: coreOf(disk), term, accepted: null, isAble, isBlank, isGranted: true }) as unknown as Vote;

/** Ends a core that hears in each round of votes what the function says; tells whether it was released, and how soon. */
const leave = async (heardIn: (round: number) => readonly Heard[]) => {
  let rounds = 0;
  let releases = 0;
  const notes: string[] = [];
  const life = {
    options: {
      register: { disk: own, isBlank: () => false },
      proposer: { votes: async () => [...heardIn(rounds++), { disk: own, isAble: false }].map(voteOf) },
      clientFor: () => ({
        ask: async () => {
          releases += 1;
          return { kind: 'done', why: '' };
        },
      }),
      self: () => coreOf(own),
      note: (text: string) => void notes.push(text),
    },
    knownTerm: { learn: () => undefined, term: () => term },
    collectVotes: async () => undefined,
    isLeaving: false,
  } as unknown as CoreContext;
  const joining = { retireIfReplaced: async () => undefined } as unknown as Joining;
  const began = performance.now();
  await Leaving.of(life, joining).run();
  return { releases, rounds, took: performance.now() - began, notes };
};

const both = [{ disk: 'disk-2' }, { disk: 'disk-3' }];

describe('a core that is about to end', () => {
  it('is released in the first round when the others are able', async () => {
    const { releases, rounds } = await leave(() => both);
    assert.deepEqual({ releases, rounds }, { releases: 1, rounds: 1 });
  });
  it('waits for one that is not linked again yet', async () => {
    const { releases, rounds } = await leave((round) => (round < 4 ? both.slice(0, 1) : both));
    assert.deepEqual({ releases, rounds }, { releases: 1, rounds: 5 });
  });
  it('waits for one that has not taken its state up yet', async () => {
    const { releases, rounds } = await leave((round) => [both[0]!, { disk: 'disk-3', isBlank: round < 2 }]);
    assert.deepEqual({ releases, rounds }, { releases: 1, rounds: 3 });
  });
  it('ends without a release in the first round when too few others stay', async () => {
    const { releases, rounds, notes } = await leave(() => [both[0]!, { disk: 'disk-3', isAble: false }]);
    assert.deepEqual({ releases, rounds }, { releases: 0, rounds: 1 });
    assert.deepEqual(notes, ['ends without a release']);
  });
  it('ends without a release in bounded time when the others stay silent', async () => {
    const { releases, took, notes } = await leave(() => []);
    assert.equal(releases, 0);
    assert.equal(notes.at(-1), 'ends without a release');
    assert.ok(took < endsWithin, `${took} ms`);
  });
});
