/**
 * Unit tests of the upstream modules with a mocked clock and seeded random numbers: weighted choice, the limits of warm-up
 * over any window, placement, prefill speed, Retry-After, and a process that was suspended.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it, mock } from 'node:test';
import type { Compiled } from '../src/manifest/compiled.js';
import { Stall } from '../src/proxy/stall.js';
import type { Candidate } from '../src/upstream/candidate.js';
import { InFlight } from '../src/upstream/in-flight.js';
import { Placement } from '../src/upstream/placement.js';
import { PrefillSpeed } from '../src/upstream/prefill-speed.js';
import { RetryAfter } from '../src/upstream/retry-after.js';
import { Warmup } from '../src/upstream/warmup.js';
import { Weights } from '../src/upstream/weights.js';
import { Random } from '../tools/random.js';
import { clock, maxInWindow } from './window-kit.js';

afterEach(() => mock.restoreAll());

const seededRandom = (seed: number) => {
  const random = Random.of(seed);
  return () => random.below(1_000_000) / 1_000_000;
};
const candidateOf = (instance: string, group = 'g', region = 'a'): Candidate =>
  ({
    server: { instance, group, region, zone: `${region}-1`, isOpen: true, slots: undefined, warming: 0 },
    group: { name: group, memory: undefined, warmup: { per_second: 20, span: 60_000 } },
  }) as unknown as Candidate;
describe('weights', () => {
  it('choose groups in proportion among those with an open server, and never one of weight 0', () => {
    const random = seededRandom(7);
    const draw = (open: Candidate[], weights: Record<string, number>) => {
      const counts: Record<string, number> = {};
      for (let count = 0; count < 6000; count += 1)
        for (const name of new Set(Weights.draw(open, weights, random).map(({ group }) => group.name)))
          counts[name] = (counts[name] ?? 0) + 1;
      return counts;
    };
    const open = [
      candidateOf('x1', 'x'),
      candidateOf('x2', 'x'),
      candidateOf('y1', 'y'),
      candidateOf('z1', 'z'),
    ];
    const { x, y, z } = draw(open, { x: 1, y: 2, z: 0 });
    assert.equal(z, undefined);
    assert.ok(Math.abs(x! - 2000) < 150 && Math.abs(y! - 4000) < 150, `${x} and ${y} of 6000`);
    assert.deepEqual(draw(open.slice(0, 2), { x: 1, y: 2 }), { x: 6000 });
    assert.deepEqual(draw(open.slice(3), { x: 1, z: 0 }), {});
  });
});

describe('warm-up', () => {
  const proxies = ['p1', 'p2', 'p3'];
  const start = () => proxies.map((own) => Warmup.of(own, () => proxies));

  it('exceeds its limit in no second, however long a reserved request waits to be sent', () => {
    const time = clock();
    const random = Random.of(3);
    const warmups = start();
    const cold = candidateOf('cold');
    for (const one of warmups) one.start('cold', 60_000);
    const waiting: { at: number; send: () => void }[] = [];
    const sent: number[] = [];
    for (let step = 0; step < 1500; step += 1) {
      time.advance(5);
      for (const one of warmups) {
        if (!one.allows(cold.server, cold.group)) continue;
        const place = one.reserve('cold');
        const send = () => {
          if (random.below(10) === 0) return place.release();
          place.confirmSent();
          sent.push(time.now());
        };
        waiting.push({ at: time.now() + random.below(400), send });
      }
      for (const one of waiting.filter(({ at }) => at <= time.now())) {
        waiting.splice(waiting.indexOf(one), 1);
        one.send();
      }
    }
    const bound = 20 * 1.15;
    assert.ok(maxInWindow(sent, 1000) <= bound, `${maxInWindow(sent, 1000)} in a second, limit ${bound}`);
    assert.ok(sent.length > 80, `${sent.length} in 7.5 s`);
  });

  it('sends no more in a second than the group declares where no overshoot is stated', () => {
    const time = clock();
    const warmups = start();
    const cold = candidateOf('cold');
    for (const one of warmups) one.start('cold', 60_000);
    const sent: number[] = [];
    for (let step = 0; step < 400; step += 1) {
      time.advance(10);
      for (const one of warmups) {
        if (!one.allows(cold.server, cold.group)) continue;
        one.reserve('cold').confirmSent();
        sent.push(time.now());
      }
    }
    assert.ok(sent.length > 20);
    assert.ok(maxInWindow(sent, 1000) <= 20, `${maxInWindow(sent, 1000)} in a second`);
  });

  it('exceeds its limit in no second while rosters fill after a restart of all proxies', () => {
    const time = clock();
    const random = Random.of(5);
    const names = Array.from({ length: 80 }, (_none, index) => `front-${index}`);
    const rosters: string[][] = names.map(() => []);
    const warmups = names.map((own, index) => Warmup.of(own, () => rosters[index]!));
    const cold = candidateOf('cold');
    for (const one of warmups) one.start('cold', 60_000);
    const sent: number[] = [];
    for (let step = 0; step < 400; step += 1) {
      time.advance(20);
      const joined = names.slice(0, Math.floor(step * 0.8));
      names.forEach((own, index) => {
        const receives = random.below(10) === 0;
        if (receives && joined.includes(own)) rosters[index] = joined;
        const one = warmups[index]!;
        if (!joined.includes(own) || !one.allows(cold.server, cold.group)) return;
        one.reserve('cold').confirmSent();
        sent.push(time.now());
      });
    }
    const bound = 20 * 1.5 + 5;
    assert.ok(maxInWindow(sent, 1000) <= bound, `${maxInWindow(sent, 1000)} in a second, limit ${bound}`);
    const late = sent.filter((at) => at > time.now() - 2000);
    assert.ok(late.length >= 20, `${late.length} in the last 2 s, with complete rosters`);
  });

  it('ends after its duration, and forgets servers that were removed', () => {
    const time = clock();
    const [one] = start();
    const cold = candidateOf('cold');
    one!.start('cold', 1000);
    while (one!.allows(cold.server, cold.group)) one!.reserve('cold').confirmSent();
    one!.start('gone', 60_000);
    one!.retain((instance) => instance === 'cold');
    assert.deepEqual(one!.warming(), ['cold']);
    time.advance(2000);
    assert.equal(one!.isWarming('cold'), false);
    assert.equal(one!.allows(cold.server, cold.group), true);
  });
});

describe('placement', () => {
  const servers = ['s1', 's2', 's3', 's4'].map((instance) => candidateOf(instance));
  const compiled = (among: readonly Candidate[]) =>
    ({
      servers: new Map(among.map(({ server }) => [server.instance, server])),
      rules: [],
      regions: ['a'],
    }) as unknown as Compiled;
  const make = (seed: number) => {
    const inFlight = InFlight.of();
    const placement = Placement.of({
      region: () => 'a',
      zone: 'a-1',
      inFlight,
      hasIdle: () => true,
      random: seededRandom(seed),
    });
    placement.retain(compiled(servers));
    return { inFlight, placement };
  };
  const requestOf = (shared: string, own: string): Placement.Request => ({
    parts: [
      { key: shared, tokens: 3000 },
      { key: own, tokens: 500 },
    ],
    tokens: 3500,
    bytes: 0,
    aim: 2000,
    gap: 1000,
    wall: '',
  });

  it('sends the same shared prefix to the same server from every proxy, and spreads different ones', () => {
    const proxies = [1, 2, 3].map(make);
    const chosen = Array.from({ length: 40 }, (_none, index) => {
      const names = proxies.map(
        ({ placement }, proxy) =>
          placement.choose(servers, requestOf(`k${index}`, `own${proxy}`))?.server.instance,
      );
      assert.equal(new Set(names).size, 1, names.join());
      return names[0];
    });
    assert.equal(new Set(chosen).size, servers.length);
  });

  it('keeps a prompt without shared prefix in its own zone, unless waiting there costs more', () => {
    const inZone = (instance: string, zone: string) => {
      const { server, group } = candidateOf(instance);
      return { server: { ...server, zone } as Compiled.Server, group };
    };
    const among = [inZone('s1', 'a-1'), ...['s2', 's3', 's4'].map((name) => inZone(name, 'a-2'))];
    const inFlight = InFlight.of();
    const placement = Placement.of({
      region: () => 'a',
      zone: 'a-1',
      inFlight,
      hasIdle: () => true,
      random: seededRandom(3),
    });
    const unshared = { ...requestOf('k', 'x'), parts: [], bytes: 4096 };
    for (let count = 0; count < 20; count += 1)
      assert.equal(placement.choose(among, unshared)!.server.instance, 's1');
    for (let count = 0; count < 4; count += 1) inFlight.begin('s1', 4000);
    assert.notEqual(placement.choose(among, unshared)!.server.instance, 's1');
  });

  it('chooses another server when the holder of the prefix is busy', () => {
    const { inFlight, placement } = make(4);
    const holder = placement.choose(servers, requestOf('k', 'x'))!.server.instance;
    for (let count = 0; count < 8; count += 1) inFlight.begin(holder, 4000);
    assert.notEqual(placement.choose(servers, requestOf('k', 'y'))!.server.instance, holder);
  });

  it('counts the uncached tokens by prefix, and forgets a server that was removed', () => {
    const { placement } = make(5);
    const [one] = servers;
    const sent = (shared: string, own: string) =>
      placement.recordSent(one!.server, one!.group, requestOf(shared, own)).uncached;
    assert.deepEqual([sent('k', 'x'), sent('k', 'y'), sent('other', 'z')], [3500, 500, 3500]);
    placement.retain(compiled(servers.slice(1)));
    placement.retain(compiled(servers));
    assert.equal(sent('k', 'w'), 3500);
  });
});

describe('prefill speed', () => {
  it('detects the slower server by its event gaps, within bounds, and forgets a removed one', () => {
    const prefillSpeed = PrefillSpeed.of();
    const random = Random.of(9);
    for (const instance of ['fast', 'slow']) prefillSpeed.slowdownOf(instance, 'g');
    for (let count = 0; count < 3000; count += 1) {
      prefillSpeed.recordEventGap('fast', 9 + random.below(3));
      prefillSpeed.recordEventGap('slow', 18 + random.below(5));
    }
    const slowdown = prefillSpeed.slowdownOf('slow', 'g');
    assert.ok(slowdown > 1.7 && slowdown < 2.3, String(slowdown));
    assert.equal(prefillSpeed.slowdownOf('fast', 'g'), 1);
    for (let count = 0; count < 3000; count += 1) prefillSpeed.recordEventGap('slow', 5000);
    assert.equal(prefillSpeed.slowdownOf('slow', 'g'), 4);
    prefillSpeed.retain((instance) => instance === 'fast');
    assert.equal(prefillSpeed.slowdownOf('slow', 'g'), 1);
  });

  it('estimates the speed of a group within bounds', () => {
    const prefillSpeed = PrefillSpeed.of();
    for (let count = 0; count < 200; count += 1) prefillSpeed.recordFirstToken('g', 4000, 100);
    assert.ok(
      Math.abs(prefillSpeed.tokensPerMs('one', 'g') - 40) < 1,
      String(prefillSpeed.tokensPerMs('one', 'g')),
    );
    const before = prefillSpeed.tokensPerMs('one', 'g');
    prefillSpeed.recordFirstToken('g', 100, 1);
    prefillSpeed.recordFirstToken('g', 4000, -5);
    assert.equal(prefillSpeed.tokensPerMs('one', 'g'), before);
    for (let count = 0; count < 400; count += 1) prefillSpeed.recordFirstToken('g', 1_000_000, 0.001);
    assert.ok(prefillSpeed.tokensPerMs('one', 'g') <= 2000);
    for (let count = 0; count < 400; count += 1) prefillSpeed.recordFirstToken('g', 400, 1_000_000);
    assert.ok(prefillSpeed.tokensPerMs('one', 'g') >= 0.5);
  });
});

describe('retry-after', () => {
  it('is parsed as seconds, with fractions, and as a date relative to the Date header', () => {
    const date = 'Wed, 21 Oct 2015 07:28:00 GMT';
    assert.equal(RetryAfter.parse({ 'retry-after': '2' }), 2000);
    assert.equal(RetryAfter.parse({ 'retry-after': '0.25' }), 250);
    assert.equal(RetryAfter.parse({ 'retry-after': 'Wed, 21 Oct 2015 07:28:03 GMT', date }), 3000);
    for (const text of ['soon', '-1', '1.', '.5', '1e3'])
      assert.equal(RetryAfter.parse({ 'retry-after': text, date }), undefined, text);
  });
});

describe('a process that was suspended', () => {
  it('handles pending events before it sends, also when its own timer fires first', async () => {
    const stall = Stall.of();
    const settled = new Promise<boolean>((resolve) => {
      setTimeout(async () => {
        let isHandled = false;
        setImmediate(() => {
          isHandled = true;
        });
        await stall.settle();
        resolve(isHandled);
      }, 150);
    });
    const until = performance.now() + 500;
    while (performance.now() < until);
    assert.equal(await settled, true);
    stall.stop();
  });
});
