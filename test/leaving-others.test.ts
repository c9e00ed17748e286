/**
 * When a core that is shutting down asks for its release: at once where enough other cores are able, a little later where
 * some have not been heard yet, and never where too few can take part.
 */

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

/** How long a core may wait for others that never answer, in milliseconds: less than the limit of the whole release. */
const releaseLimitMs = 2000;

type Voter = { readonly disk: string; readonly isAble?: boolean; readonly isBlank?: boolean };

const voteOf = ({ disk, isAble = true, isBlank = false }: Voter) =>
  ({ core: coreOf(disk), term, accepted: null, isAble, isBlank, isGranted: true }) as unknown as Vote;

/** Shuts down a core that gets the given votes in each round; returns the number of releases and rounds, and the time taken. */
const leave = async (votersIn: (round: number) => readonly Voter[]) => {
  let rounds = 0;
  let releases = 0;
  const notes: string[] = [];
  const context = {
    options: {
      register: { disk: own, isBlank: () => false },
      proposer: { votes: async () => [...votersIn(rounds++), { disk: own, isAble: false }].map(voteOf) },
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
  await Leaving.of(context, joining).run();
  return { releases, rounds, took: performance.now() - began, notes };
};

const bothOthers = [{ disk: 'disk-2' }, { disk: 'disk-3' }];

describe('a core that is shutting down', () => {
  it('is released in the first round when the others are able', async () => {
    const { releases, rounds } = await leave(() => bothOthers);
    assert.deepEqual({ releases, rounds }, { releases: 1, rounds: 1 });
  });
  it('waits for a core that has not reconnected yet', async () => {
    const { releases, rounds } = await leave((round) => (round < 4 ? bothOthers.slice(0, 1) : bothOthers));
    assert.deepEqual({ releases, rounds }, { releases: 1, rounds: 5 });
  });
  it('waits for a core that is still blank', async () => {
    const { releases, rounds } = await leave((round) => [
      bothOthers[0]!,
      { disk: 'disk-3', isBlank: round < 2 },
    ]);
    assert.deepEqual({ releases, rounds }, { releases: 1, rounds: 3 });
  });
  it('ends without a release in the first round when too few others stay', async () => {
    const { releases, rounds, notes } = await leave(() => [
      bothOthers[0]!,
      { disk: 'disk-3', isAble: false },
    ]);
    assert.deepEqual({ releases, rounds }, { releases: 0, rounds: 1 });
    assert.deepEqual(notes, ['ends without a release']);
  });
  it('ends without a release in bounded time when the others stay silent', async () => {
    const { releases, took, notes } = await leave(() => []);
    assert.equal(releases, 0);
    assert.equal(notes.at(-1), 'ends without a release');
    assert.ok(took < releaseLimitMs, `${took} ms`);
  });
});
