// A new holder of the quota duty, which has heard only some of the proxies while the others let in their even part
// alone: it grants nothing beyond the even parts, until all were heard or the span is over, and asks those on its roster.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Id } from '../src/common/id.js';
import { Instant } from '../src/common/instant.js';
import { QuotaDuty } from '../src/duty/quota-duty.js';
import { QuotaLimiter } from '../src/proxy/quota-limiter.js';

const requests = 30;
const longSpan = 60_000;
const shortSpan = 1000;
const listening = 1200;
const young = 5000;
const tendEvery = 500;
const names = ['a', 'b', 'c'] as const;
type Name = (typeof names)[number];

const turn = () => new Promise<void>((resolve) => setImmediate(resolve));

const lay = (span = longSpan) => {
  const quota = { span, requests };
  const roster = new Set<string>(names);
  const cutOff = new Set<string>();
  const admitted = { a: 0, b: 0, c: 0 };
  const asked: string[] = [];
  let epoch = 1;
  const duty = QuotaDuty.of({
    quotaOf: () => quota,
    roster: () => [...roster],
    requestReport(node) {
      asked.push(node);
      if (!cutOff.has(node)) setImmediate(() => proxies[node as Name].reportAll());
    },
  });
  const proxyOf = (node: Name): QuotaLimiter =>
    QuotaLimiter.of({
      proxies: () => names.length,
      send(serial, uses, { life, whole }) {
        if (cutOff.has(node)) return false;
        const told = { kind: 'tokens', node, epoch: 0, batches: [], wanted: 0, serial, uses, grants: [] };
        const response = duty.receive({ ...told, kind: 'tokens', life, whole }, epoch);
        if (response)
          setImmediate(() =>
            proxies[node].applyGrants(response.epoch, response.serial, response.grants, response),
          );
        return true;
      },
    });
  const proxies: Record<Name, QuotaLimiter> = { a: proxyOf('a'), b: proxyOf('b'), c: proxyOf('c') };
  const lasting = async (time: number) => {
    let next = Instant.now();
    for (const began = Instant.now(); Instant.since(began) < time; await turn()) {
      if (!Instant.isPast(next)) continue;
      next = Instant.after(tendEvery, next);
      for (const name of names) proxies[name].maintain();
    }
  };
  const admit = async (node: Name, count: number) => {
    for (let done = 0; done < count; done += 1) {
      const verdict = await proxies[node].admit(
        { name: 'team' as Id.Team, home: undefined, homes: undefined, quota },
        1,
      );
      if (verdict.kind === 'in') admitted[node] += 1;
    }
  };
  const sum = () => admitted.a + admitted.b + admitted.c;
  const grown = async () => {
    duty.observeEpoch(epoch);
    await lasting(young + 100);
  };
  const moveHolder = async (during: () => Promise<void> = async () => {}) => {
    epoch += 1;
    duty.observeEpoch(epoch);
    await Promise.all([during(), lasting(listening + 100)]);
  };
  return { roster, cutOff, admitted, asked, admit, sum, grown, moveHolder, lasting };
};

describe('a new holder of the quota duty', () => {
  it('grants only even parts while its roster misses a proxy that the others know', async () => {
    const { roster, cutOff, admit, sum, grown, moveHolder, lasting } = lay();
    await grown();
    for (const name of names) await admit(name, 4);
    roster.delete('c');
    cutOff.add('c');
    await moveHolder();
    await admit('a', requests);
    await admit('b', requests);
    await admit('c', requests);
    assert.equal(sum(), requests);
    cutOff.clear();
    roster.add('c');
    await lasting(tendEvery);
    for (const name of names) await admit(name, requests);
    assert.equal(sum(), requests);
  });

  it('counts a proxy that told while it listened, and lets in alone since, by its even part', async () => {
    const { cutOff, admit, sum, grown, moveHolder } = lay();
    await grown();
    for (const name of names) await admit(name, 4);
    await moveHolder(async () => {
      for (const name of names) await admit(name, 1);
    });
    cutOff.add('c');
    await admit('a', requests);
    await admit('b', requests);
    await admit('c', requests);
    assert.ok(sum() <= requests, `${sum()} of ${requests}`);
  });

  it('asks those on its roster that have nothing to tell, and then grants the whole quota to one', async () => {
    const { asked, admit, admitted, grown, moveHolder, lasting } = lay();
    await grown();
    await moveHolder();
    await admit('a', requests);
    await lasting(3 * tendEvery);
    await admit('a', requests);
    assert.equal(admitted.a, requests);
    assert.ok(asked.includes('b') && asked.includes('c'));
  });

  it('grants the whole quota once the span is over, whoever was not heard', async () => {
    const { cutOff, admit, admitted, moveHolder, lasting } = lay(shortSpan);
    cutOff.add('b').add('c');
    await moveHolder();
    await admit('a', requests);
    assert.ok(admitted.a <= requests / names.length);
    await lasting(shortSpan + QuotaDuty.grantLifetimeMs + shortSpan);
    admitted.a = 0;
    await admit('a', requests);
    assert.equal(admitted.a, requests);
  });
});
