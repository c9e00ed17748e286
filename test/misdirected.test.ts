// A server that answers for another one: the list still names an instance at an address that is already another's.
// One such answer keeps this proxy's later requests away, until the list says otherwise or a short span is over.
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { Bench } from './bench.js';

const regions = ['a', 'b'];
const manifest = {
  zones: Bench.manifest.zones,
  groups: {
    lookup: {
      kind: 'plain',
      regions,
      proof: { header: 'x-wanted-instance', misdirected: 421 },
      not_run: [{ status: 421 }],
    },
  },
  homes: { all: { regions } },
  teams: { everybody: { keys: [], home: 'all', open: true } },
  rules: [
    {
      name: 'single',
      match: { path: '/single/*' },
      groups: ['lookup'],
      runs: 'once',
      home: { regions },
      aim: 1000,
      affinity: false,
      hops: 0,
      retry: { retry_on: ['connect-failure', 'refused-stream', 'reset', '5xx'], count: 0 },
    },
  ],
} as unknown as Document;

const serve: Bench.Handle = (_incoming, response) => void response.end('served');
const isAnother: Bench.Handle = (_incoming, response) => {
  response.writeHead(421, { 'not-executed': 'true' });
  response.end();
};

describe('an address that is another server’s by now', () => {
  let bench: Bench;
  let gone: Bench.BackEnd;
  let other: Bench.BackEnd;

  const call = () => Bench.call(bench.kit.fronts[0]!.listen, '/single/x', undefined, { authorization: '' });
  const refusals = async (count: number): Promise<number> => {
    let refused = 0;
    for (let done = 0; done < count; done += 1) if ((await call()).status !== 200) refused += 1;
    return refused;
  };
  const untilReached = async (one: Bench.BackEnd): Promise<void> => {
    while (one.reached.length === 0) await call();
  };

  before(async () => {
    bench = await Bench.start({ manifest });
    gone = await bench.backEnd({ instance: 'r1', group: 'lookup', region: 'a', handle: serve });
    other = await bench.backEnd({ instance: 'r2', group: 'lookup', region: 'b', handle: serve });
    await bench.list([gone, other]);
  });
  after(() => bench.stop());
  beforeEach(() => {
    gone.handle = serve;
    gone.reached.length = 0;
    other.reached.length = 0;
  });

  it('costs one refusal on a route that allows one server, and nothing more goes there', async () => {
    await untilReached(gone);
    gone.reached.length = 0;
    gone.handle = isAnother;
    while (gone.reached.length === 0) await call();
    const began = performance.now();
    assert.equal(await refusals(60), 0);
    assert.ok(performance.now() - began < 4500, 'this machine was too busy for the test');
    assert.equal(gone.reached.length, 1);
    const told = (await (await fetch(`http://${bench.kit.fronts[0]!.ops}/health`)).json()) as {
      out: string[];
    };
    assert.deepEqual(told.out, ['r1']);
  });

  it('gets requests again after a short span, though the list stays as it was', {
    timeout: 20_000,
  }, async () => {
    await untilReached(gone);
    assert.equal(await refusals(20), 0);
  });

  it('gets requests at once where the list shows it at another address', async () => {
    gone.handle = isAnother;
    while (gone.reached.length === 0) await call();
    const moved = await bench.backEnd({ instance: 'r1', group: 'lookup', region: 'a', handle: serve });
    await bench.list([moved, other]);
    const began = performance.now();
    await untilReached(moved);
    assert.ok(performance.now() - began < 4500, 'before the span is over');
    assert.equal(gone.reached.length, 1);
  });

  it('is refused at once as not run while the list knows no other server', async () => {
    const alone = await bench.backEnd({ instance: 'r3', group: 'lookup', region: 'a', handle: isAnother });
    await bench.list([alone]);
    const answers = [await call(), await call(), await call()];
    assert.deepEqual(
      answers.map(({ status, headers }) => [status, headers['bramblebend-ran']]),
      [503, 503, 503].map((status) => [status, 'no']),
    );
    assert.ok(answers.every(({ headers }) => headers['retry-after'] !== undefined));
    assert.equal(alone.reached.length, 1);
  });
});
