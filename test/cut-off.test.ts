/**
 * A control machine that is cut off from the others, as primary or as backup, answers every request soon with 503 and
 * Retry-After, and never from the state it held before. After it is reconnected it answers nothing older than the
 * others.
 */
import assert from 'node:assert/strict';
import { after, afterEach, before, describe, it } from 'node:test';
import { FleetKit } from '../tools/fleet-kit.js';
import { Bench } from './bench.js';

type Core = FleetKit.Core;
type Answer = { readonly status: number; readonly retryAfter: string | null; readonly body: string };

const headers = { authorization: `Bearer ${FleetKit.operatorToken}` };
/** Limits of a single answer time and of the median; a single one may take longer on a busy machine. */
const maxAnswerMs = 3000;
const maxMedianMs = 1000;
const queries = [
  '/v1/manifest',
  '/v1/status',
  '/v1/nodes',
  '/v1/usage',
  '/v1/budget',
  '/v1/loads',
  '/v1/servers',
  '/v1/audit',
  '/v1/evacuations',
];

describe('a control machine that is cut off', () => {
  let bench: Bench;
  let count = 0;

  before(async () => {
    bench = await Bench.start({ fronts: 1, hasFaults: true });
  });
  afterEach(() => bench.faults?.healAll());
  after(() => bench.stop());

  const healthOf = async (core: Core) =>
    (await (await fetch(`http://${core.http}/health`)).json()) as { state: string };
  const waitUntil = async <T>(probe: () => Promise<T | undefined>, what: string): Promise<T> => {
    for (const startedAt = performance.now(); ; ) {
      const value = await probe().catch(() => undefined);
      if (value !== undefined) return value;
      if (performance.now() - startedAt > 20_000) {
        await Bench.tellCores(bench.kit.cores);
        assert.fail(what);
      }
    }
  };
  const leaderAmong = (cores: readonly Core[]) =>
    waitUntil(async () => {
      for (const core of cores) if ((await healthOf(core)).state === 'leading') return core;
      return undefined;
    }, 'one leads');
  const ask = async (core: Core, path: string, init: RequestInit = {}): Promise<Answer> => {
    const response = await fetch(`http://${core.http}${path}`, {
      ...init,
      headers: { ...headers, ...init.headers },
    });
    return {
      status: response.status,
      retryAfter: response.headers.get('retry-after'),
      body: await response.text(),
    };
  };
  const putManifest = (core: Core, note: string, etag: string) =>
    ask(core, '/v1/manifest', {
      method: 'PUT',
      headers: { 'if-match': etag, 'content-type': 'application/json' },
      body: JSON.stringify({ ...Bench.manifest, note }),
    });
  const putAt = (cores: readonly Core[]) =>
    waitUntil(async () => {
      const note = `note ${++count}`;
      const first = await leaderAmong(cores);
      const read = await FleetKit.call(first.http, 'GET', '/v1/manifest', undefined, headers);
      if (read.status !== 200) return undefined;
      return (await putManifest(first, note, read.etag!)).status === 200
        ? { note, etag: read.etag! }
        : undefined;
    }, 'a manifest is taken');
  const ips = (cores: readonly Core[]) => cores.map((core) => core.wire.split(':')[0]!);
  const cut = (core: Core, others: readonly Core[], direction: 'both' | 'out' | 'in') =>
    direction === 'in'
      ? bench.faults!.cut(ips(others), ips([core]), 'one')
      : bench.faults!.cut(ips([core]), ips(others), direction === 'both' ? 'both' : 'one');
  const isRefused = (answer: Answer, elapsedMs: number, what: string) => {
    assert.equal(answer.status, 503, `${what}: ${answer.status} ${answer.body}`);
    assert.equal(answer.retryAfter, '1', what);
    assert.ok(elapsedMs < maxAnswerMs, `${what}: answered only after ${Math.round(elapsedMs)} ms`);
    return elapsedMs;
  };

  for (const role of ['leading', 'following'] as const)
    for (const direction of ['both', 'out', 'in'] as const)
      it(`answers nothing of its own while ${role} and cut off, ${direction} ways`, async (test) => {
        const before = await putAt(bench.kit.cores);
        const first = await leaderAmong(bench.kit.cores);
        const isolated = role === 'leading' ? first : bench.kit.cores.find((core) => core !== first)!;
        const others = bench.kit.cores.filter((core) => core !== isolated);
        const heal = cut(isolated, others, direction);
        const startedAt = performance.now();
        const rival = putManifest(isolated, `rival ${role} ${direction}`, before.etag);
        await waitUntil(
          async () =>
            performance.now() - startedAt > 1700 && (await leaderAmong(others)) !== undefined
              ? true
              : undefined,
          'the others have a primary',
        );
        const taken = await putAt(others);
        const first503 = await rival;
        assert.ok([412, 503].includes(first503.status), `the order at the cut: ${first503.status}`);
        if (first503.status === 412) assert.ok(role === 'following' || direction === 'in');
        const answerTimes: number[] = [];
        for (const path of queries) {
          const asked = performance.now();
          const answer = await ask(isolated, path);
          answerTimes.push(isRefused(answer, performance.now() - asked, `${role} ${direction} ${path}`));
        }
        const median = answerTimes.sort((a, b) => a - b)[Math.floor(answerTimes.length / 2)]!;
        assert.ok(median < maxMedianMs, `the median answer came only after ${Math.round(median)} ms`);
        for (const etag of [before.etag, '"1"']) {
          const asked = performance.now();
          const answer = await putManifest(isolated, `late ${role} ${direction}`, etag);
          isRefused(answer, performance.now() - asked, `${role} ${direction} order ${etag}`);
        }
        heal();
        const answers = await Promise.all([
          ask(isolated, '/v1/manifest'),
          putManifest(isolated, taken.note, taken.etag),
          ask(isolated, '/v1/status'),
        ]);
        test.diagnostic(`at its return: ${answers.map(({ status }) => status).join(' ')}`);
        const [read] = answers;
        assert.ok(read.status === 503 || read.body.includes(taken.note), read.body);
        const back = await waitUntil(async () => {
          const now = await ask(isolated, '/v1/manifest');
          return now.status === 200 ? now.body : undefined;
        }, 'it answers again');
        assert.ok(back.includes(taken.note));
      });
});
