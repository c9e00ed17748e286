/**
 * Tests catch-up with complete control nodes and 2,000 routes. One node is down for hundreds of changes, returns with a
 * slow disk and is killed once more while it catches up. Changes are accepted meanwhile, and the node holds the newest
 * state within a time limit.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { Random } from '../tools/random.js';
import { Bench } from './bench.js';

type Core = FleetKit.Core;
type Health = {
  readonly state: string;
  readonly held: { readonly epoch: number; readonly revision: number };
  readonly tenure: { primary: string; inSync: string[]; cores: { disk: string; node: string }[] } | null;
};

const routeCount = 2000;
const serverListCount = 200;
const manifestCount = 12;
const catchUpTimeoutMs = 20_000;
const requestTimeoutMs = 12_000;

const manifestOf = (note: string): Document => {
  const random = Random.of(5);
  const word = () => Array.from({ length: 12 }, () => random.below(36).toString(36)).join('');
  const rules = Array.from({ length: routeCount }, (_none, index) => ({
    ...Bench.manifest.rules[0]!,
    name: `route-${index}-${word()}`,
    match: { path: `/${word()}/${word()}`, method: 'POST', models: ['once'] },
  }));
  return { ...Bench.manifest, note, rules } as unknown as Document;
};

describe('a control node that returns', () => {
  let bench: Bench;
  let serial = 0;

  before(async () => {
    bench = await Bench.start({ fronts: 1, hasFaults: true });
  });
  after(() => bench.stop());

  const health = async (core: Core): Promise<Health | undefined> =>
    fetch(`http://${core.http}/health`).then(
      async (response) => (await response.json()) as Health,
      () => undefined,
    );
  const until = async <T>(
    poll: () => Promise<T | undefined>,
    timeoutMs: number,
    description: string,
  ): Promise<T> => {
    for (const startedAt = performance.now(); ; ) {
      const value = await poll().catch(() => undefined);
      if (value !== undefined) return value;
      assert.ok(performance.now() - startedAt < timeoutMs, `${description} within ${timeoutMs} ms`);
    }
  };
  const runningCores = () => bench.kit.cores.filter((core) => core.process?.isUp());
  const findLeader = () =>
    until(
      async () => {
        const answers = await Promise.all(
          runningCores().map(async (core) => ({ core, status: await health(core) })),
        );
        return answers.find(({ status }) => status?.state === 'leading');
      },
      requestTimeoutMs,
      'one leads',
    );
  const request = async (
    path: string,
    body: () => unknown,
    token = FleetKit.operatorToken,
  ): Promise<number> => {
    const began = performance.now();
    await until(
      async () => {
        const answer = await bench.kit.operate(
          'PUT',
          path,
          body(),
          {
            authorization: `Bearer ${token}`,
            ...(path === '/v1/manifest' ? { 'if-match': await currentEtag() } : {}),
          },
          runningCores(),
        );
        return answer.status === 200 ? true : undefined;
      },
      requestTimeoutMs,
      `an order to ${path} is taken`,
    );
    return performance.now() - began;
  };
  const currentEtag = async () =>
    (await bench.kit.operate('GET', '/v1/manifest', undefined, {}, runningCores())).etag ?? '';
  const putList = () => {
    const next = ++serial;
    return request('/v1/servers', () => ({ serial: next, servers: [] }), FleetKit.platformToken);
  };
  const putManifest = (note: string) => request('/v1/manifest', () => manifestOf(note));
  const notInSyncOf = ({ tenure }: Health): Core => {
    const { node } = tenure!.cores.find(({ disk }) => !tenure!.inSync.includes(disk))!;
    return bench.kit.cores.find((core) => core.node === node)!;
  };
  const isNewest = async (core: Core): Promise<true | undefined> => {
    const [first, here] = [(await findLeader()).status!, await health(core)];
    const isSame = here?.held.epoch === first.held.epoch && here.held.revision === first.held.revision;
    return isSame ? true : undefined;
  };

  it('holds the newest state within a bound, though its disk is slow and it is killed again on the way', async (test) => {
    await putManifest('first');
    const returning = notInSyncOf((await findLeader()).status!);
    await returning.process!.end('SIGKILL');
    for (let count = 0; count < manifestCount; count += 1) await putManifest(`away ${count}`);
    for (let count = 0; count < serverListCount; count += 1) await putList();
    bench.faults!.disk(returning.node, 'slow');
    await bench.kit.startCore(returning);
    await putList();
    await returning.process!.end('SIGKILL');
    await putList();
    await bench.kit.startCore(returning);
    const began = performance.now();
    let longest = 0;
    const orders = (async () => {
      for (let count = 0; count < 30; count += 1) longest = Math.max(longest, await putList());
    })();
    await orders;
    await until(() => isNewest(returning), catchUpTimeoutMs, 'the returned node holds the newest state');
    const took = Math.round(performance.now() - began);
    test.diagnostic(`at the newest ${took} ms after its start; longest order ${Math.round(longest)} ms`);
    assert.ok(longest < 3000, `an order took ${Math.round(longest)} ms`);
    const { core } = await findLeader();
    const status = await bench.kit.operate('GET', '/v1/status', undefined, {}, [core]);
    const cores = status.body.cores as { node: string; behind: number; current: boolean }[];
    assert.equal(cores.length, 2);
    const returned = cores.find(({ node }) => node === returning.node);
    assert.deepEqual([returned?.behind, returned?.current], [0, true]);
    const metrics = await (await fetch(`http://${returning.http}/metrics`)).text();
    assert.match(metrics, /bramblebend_transfer_bytes_received [1-9]/);
  });
});
