// What a proxy asks of the quota duty: requests of many teams that wait at once go into one question together, a
// question for them tells of their teams alone, and twice a second all teams are told of.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Id } from '../src/common/id.js';
import { Instant } from '../src/common/instant.js';
import { QuotaLimiter } from '../src/proxy/quota-limiter.js';
import type { Frame } from '../src/wire/frame.js';

const teams = 8;
const nameOf = (index: number) => `team-${index}` as Id.Team;
const quota = { span: 60_000, requests: 1000 };
const young = 5000;

const turn = () => new Promise<void>((resolve) => setImmediate(resolve));

const lay = (told: { readonly life?: boolean } = {}) => {
  const asked: (readonly Frame.Use[])[] = [];
  let isUp = true;
  const quotas: QuotaLimiter = QuotaLimiter.of({
    proxies: () => 2,
    send(serial, uses) {
      asked.push(uses);
      if (!isUp) return true;
      const grants = uses.map(({ team, must }) => ({ team, ...must }));
      setImmediate(() => quotas.applyGrants(1, serial, grants, told));
      return true;
    },
  });
  const admit = (index: number) =>
    quotas.admit({ name: nameOf(index), home: undefined, homes: undefined, quota }, 100);
  const setUp = (next: boolean) => {
    isUp = next;
  };
  return { asked, quotas, admit, setUp };
};

describe('questions about quotas', () => {
  it('lets in requests of many teams that come at once, while their quotas last', async () => {
    const { asked, admit } = lay();
    const verdicts = await Promise.all(Array.from({ length: teams }, (_none, index) => admit(index)));
    assert.deepEqual(
      verdicts.map(({ kind }) => kind),
      Array.from({ length: teams }, () => 'in'),
    );
    assert.equal(asked.length, 2);
  });
  it('asks for several requests of one team at once', async () => {
    const { asked, admit } = lay();
    const verdicts = await Promise.all([admit(0), admit(0), admit(0), admit(0)]);
    assert.ok(verdicts.every(({ kind }) => kind === 'in'));
    assert.equal(asked.length, 2);
    assert.equal(asked[1]?.[0]?.must.requests, 3);
  });
  it('tells of waiting teams alone, and of all in turn, even while questions are open', async () => {
    const { asked, quotas, admit } = lay();
    for (let index = 0; index < teams; index += 1) await admit(index);
    assert.deepEqual(
      asked.map((uses) => uses.map(({ team }) => team)),
      Array.from({ length: teams }, (_none, index) => [nameOf(index)]),
    );
    const waiting = admit(0);
    quotas.maintain();
    await waiting;
    const whole = asked.findIndex((uses) => uses.length === teams);
    assert.equal(whole, teams + 1);
    assert.ok(asked[whole]?.every((use) => use.used.requests >= 1));
  });
  it('tells of what it let in alone for want of an answer, and no more of it as waiting', async () => {
    const { asked, admit, setUp } = lay({ life: true });
    for (const began = Instant.now(); Instant.since(began) < young; await turn());
    assert.equal((await admit(0)).kind, 'in');
    setUp(false);
    const before = asked.length;
    const verdicts = await Promise.all([admit(0), admit(0), admit(0)]);
    assert.ok(verdicts.every(({ kind }) => kind === 'in'));
    while (asked.length < before + 2) await turn();
    const [use] = asked[before + 1] ?? [];
    assert.deepEqual([use?.used.requests, use?.must.requests], [4, 0]);
  });
});
