// What a proxy tells the quota duty and what the duty makes of it: all teams once, then what changed, while a word a
// second speaks for the others; and all again to a new holder, to one that does not answer, and to an earlier one.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Id } from '../src/common/id.js';
import { Instant } from '../src/common/instant.js';
import { QuotaDuty } from '../src/duty/quota-duty.js';
import { QuotaLimiter } from '../src/proxy/quota-limiter.js';
import { Random } from '../tools/random.js';

const quota = { span: 60_000, requests: 100 };
const teams = 30;
const nameOf = (index: number) => `team-${index}` as Id.Team;
const listening = 1200;
const silentAfter = 3000;
const tendEvery = 500;

const turn = () => new Promise<void>((resolve) => setImmediate(resolve));
const lasting = async (span: number, work: () => void) => {
  for (const began = Instant.now(); Instant.since(began) < span; await turn()) work();
};
const everyHalfSecond = async (span: number, work: () => void) => {
  let next = Instant.after(tendEvery);
  await lasting(span, () => {
    if (!Instant.isPast(next)) return;
    next = Instant.after(tendEvery, next);
    work();
  });
};

const lay = (count: number) => {
  const names = Array.from({ length: count }, (_none, index) => String.fromCharCode(97 + index));
  const duty = QuotaDuty.of({ quotaOf: () => quota, roster: () => names, requestReport: () => {} });
  let epoch = 1;
  let isUp = true;
  let isEarlier = false;
  const asked: QuotaDuty.Tokens[] = [];
  const answered: QuotaDuty.Tokens[] = [];
  const proxyOf = (node: string): QuotaLimiter => {
    const quotas: QuotaLimiter = QuotaLimiter.of({
      proxies: () => count,
      send(serial, uses, { life, whole }) {
        const frame = {
          kind: 'tokens',
          node,
          epoch: 0,
          batches: [],
          wanted: 0,
          serial,
          uses,
          grants: [],
        } as const;
        const told = isEarlier ? frame : { ...frame, life, whole };
        asked.push(told);
        if (!isUp) return true;
        const response = duty.receive(told, epoch);
        if (response) answered.push(response);
        if (response)
          setImmediate(() => quotas.applyGrants(response.epoch, response.serial, response.grants, response));
        return true;
      },
    });
    return quotas;
  };
  const admit = (quotas: QuotaLimiter, index: number) =>
    quotas.admit({ name: nameOf(index), home: undefined, homes: undefined, quota }, 100);
  const used = (index: number) => duty.usage()[nameOf(index)]?.used.requests ?? 0;
  // Grants given ahead end after two seconds, and what was held of them is told.
  const settled = (...proxies: readonly QuotaLimiter[]) =>
    lasting(QuotaDuty.grantLifetimeMs + 300, () => {
      for (const proxy of proxies) proxy.maintain();
    });
  const listen = async () => {
    duty.observeEpoch(epoch);
    await lasting(listening, () => {});
  };
  return {
    asked,
    answered,
    proxyOf,
    admit,
    used,
    settled,
    listen,
    moveHolder() {
      epoch += 1;
    },
    setUp(next: boolean) {
      isUp = next;
    },
    setEarlier() {
      isEarlier = true;
    },
  };
};

describe('changes told to the quota duty', () => {
  it('tells all teams once and then only those that changed', async () => {
    const { asked, proxyOf, admit, used, settled, listen } = lay(4);
    await listen();
    const proxy = proxyOf('a');
    for (let index = 0; index < teams; index += 1) assert.equal((await admit(proxy, index)).kind, 'in');
    await settled(proxy);
    const wholes = asked.filter(({ whole }) => whole);
    assert.deepEqual(
      wholes.map(({ uses }) => uses.length),
      [teams],
    );
    const before = asked.length;
    const verdict = await admit(proxy, 7);
    await settled(proxy);
    const told = asked.slice(before).flatMap(({ uses }) => uses.map(({ team }) => team));
    assert.deepEqual([...new Set(told)], [nameOf(7)]);
    assert.equal(used(7), 2);
    assert.ok(verdict.kind === 'in');
    verdict.refund();
    await settled(proxy);
    assert.equal(used(7), 1);
  });
  it('takes any word of a proxy as a sign of life for all its teams, and counts a silent one by its even part', async () => {
    const { asked, proxyOf, admit, used, settled, listen } = lay(4);
    await listen();
    const [alive, silent] = [proxyOf('alive'), proxyOf('silent')];
    assert.equal((await admit(alive, 0)).kind, 'in');
    assert.equal((await admit(silent, 1)).kind, 'in');
    await settled(alive, silent);
    const before = asked.length;
    await everyHalfSecond(silentAfter + 500, alive.maintain);
    const told = asked.slice(before);
    assert.equal(
      told.reduce((sum, { uses }) => sum + uses.length, 0),
      0,
    );
    assert.equal(used(0), 1);
    assert.equal(used(1), quota.requests / 4);
  });
  it('tells all again to a new holder, and to one that did not answer', async () => {
    const { asked, proxyOf, admit, used, settled, listen, moveHolder, setUp } = lay(4);
    await listen();
    const proxy = proxyOf('a');
    for (let index = 0; index < teams; index += 1) await admit(proxy, index);
    await settled(proxy);
    moveHolder();
    const before = asked.length;
    await everyHalfSecond(listening, proxy.maintain);
    const wholes = asked.slice(before).filter(({ whole }) => whole);
    assert.deepEqual(
      wholes.map(({ uses }) => uses.length),
      [teams],
    );
    for (let index = 0; index < teams; index += 1) assert.equal(used(index), 1);
    await settled(proxy);
    assert.equal(asked.slice(before).filter(({ whole }) => whole).length, 1);
    setUp(false);
    proxy.maintain();
    await lasting(600, () => {});
    assert.deepEqual([asked.at(-1)?.whole, asked.at(-1)?.uses.length], [true, teams]);
    setUp(true);
    const later = asked.length;
    proxy.maintain();
    await lasting(500, () => {});
    assert.deepEqual(
      asked.slice(later).map(({ whole, uses }) => [whole, uses.length]),
      [[true, teams]],
    );
  });
  it('goes on telling all to a holder of an earlier program, which takes no word for others', async () => {
    const { asked, answered, proxyOf, admit, listen, setEarlier } = lay(4);
    setEarlier();
    await listen();
    const proxy = proxyOf('a');
    for (let index = 0; index < teams; index += 1) await admit(proxy, index);
    for (let round = 0; round < 3; round += 1) {
      const before = asked.length;
      proxy.maintain();
      await turn();
      await turn();
      assert.deepEqual(
        asked.slice(before).map(({ uses }) => uses.length),
        [teams],
      );
    }
    assert.ok(answered.every(({ life }) => !life));
  });
  it('still counts what the last run of a proxy used, whatever its next run tells', async () => {
    const { proxyOf, admit, used, settled, listen } = lay(4);
    await listen();
    const first = proxyOf('a');
    for (let count = 0; count < 10; count += 1) await admit(first, 0);
    await settled(first);
    assert.equal(used(0), 10);
    const second = proxyOf('a');
    await admit(second, 1);
    await settled(second);
    assert.equal(used(0), 10);
    await lasting(silentAfter + 200, second.maintain);
    assert.equal(used(0), quota.requests / 4);
  });
  it('lets in the whole quota over all proxies in any order, and no more', async () => {
    const { proxyOf, admit, settled, listen } = lay(5);
    await listen();
    const random = Random.of(7);
    const proxies = ['a', 'b', 'c', 'd', 'e'].map(proxyOf);
    let admitted = 0;
    for (let round = 0; round < 3 * quota.requests; round += 1) {
      const proxy = random.pick(proxies);
      if (random.below(3) === 0) proxy.maintain();
      if ((await admit(proxy, 0)).kind === 'in') admitted += 1;
    }
    assert.ok(admitted <= quota.requests, `${admitted} were let in`);
    await settled(...proxies);
    for (let round = 0; round < quota.requests; round += 1)
      if ((await admit(random.pick(proxies), 0)).kind === 'in') admitted += 1;
    assert.equal(admitted, quota.requests);
  });
});
