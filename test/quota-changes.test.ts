/**
 * Reports between proxies and the quota duty: all teams once, then only changes, while messages twice a second renew the
 * other entries; and a full report again to a new holder, to one that does not respond, and to one of an earlier version.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import type { Id } from '../src/common/id.js';
import { Instant } from '../src/common/instant.js';
import { QuotaDuty } from '../src/duty/quota-duty.js';
import { QuotaLimiter } from '../src/proxy/quota-limiter.js';
import { Random } from '../tools/random.js';
import { ManualClock } from './manual-clock.js';

const quota = { span: 60_000, requests: 100 };
const teams = 30;
const nameOf = (index: number) => `team-${index}` as Id.Team;
const collectMs = 1200;
const silentAfterMs = 3000;
const maintenanceMs = 500;

let clock: ManualClock;
const nextTurn = () => new Promise<void>((resolve) => setImmediate(resolve));
const stepMs = 1;
/** Lets simulated time pass, one turn of the event loop a step. */
const repeatFor = async (span: number, work: () => void) => {
  for (const began = Instant.now(); Instant.since(began) < span; await nextTurn()) {
    work();
    clock.advance(stepMs);
    mock.timers.tick(stepMs);
  }
};
const everyHalfSecond = async (span: number, work: () => void) => {
  let next = Instant.after(maintenanceMs);
  await repeatFor(span, () => {
    if (!Instant.isPast(next)) return;
    next = Instant.after(maintenanceMs, next);
    work();
  });
};

const setUpDuty = (count: number) => {
  const names = Array.from({ length: count }, (_none, index) => String.fromCharCode(97 + index));
  const duty = QuotaDuty.of({
    quotaOf: () => quota,
    roster: () => names,
    requestReport: () => {},
    isFirstHolder: () => epoch === 1,
  });
  let epoch = 1;
  let isUp = true;
  let isEarlierVersion = false;
  const reports: QuotaDuty.Tokens[] = [];
  const responses: QuotaDuty.Tokens[] = [];
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
        const report = isEarlierVersion ? frame : { ...frame, life, whole };
        reports.push(report);
        if (!isUp) return true;
        const response = duty.receive(report, epoch);
        if (response) responses.push(response);
        if (response)
          setImmediate(() => quotas.applyGrants(response.epoch, response.serial, response.grants, response));
        return true;
      },
    });
    return quotas;
  };
  const admit = (quotas: QuotaLimiter, index: number) => quotas.admit({ name: nameOf(index), quota }, 100);
  const used = (index: number) => duty.usage()[nameOf(index)]?.used.requests ?? 0;
  // Unspent grants expire after two seconds, and their expiry is reported.
  const settle = (...proxies: readonly QuotaLimiter[]) =>
    repeatFor(QuotaDuty.grantLifetimeMs + 300, () => {
      for (const proxy of proxies) proxy.maintain();
    });
  const collectReports = async () => {
    duty.observeTerm(epoch);
    await repeatFor(collectMs, () => {});
  };
  return {
    reports,
    responses,
    proxyOf,
    admit,
    used,
    settle,
    collectReports,
    moveHolder() {
      epoch += 1;
    },
    setUp(next: boolean) {
      isUp = next;
    },
    setEarlierVersion() {
      isEarlierVersion = true;
    },
  };
};

describe('reports to the quota duty', () => {
  beforeEach(() => {
    clock = ManualClock.install();
    mock.timers.enable({ apis: ['setTimeout'] });
  });
  afterEach(() => {
    mock.timers.reset();
    clock.uninstall();
  });

  it('cover all teams once and then only those that changed', async () => {
    const { reports, proxyOf, admit, used, settle, collectReports } = setUpDuty(4);
    await collectReports();
    const proxy = proxyOf('a');
    for (let index = 0; index < teams; index += 1) assert.equal((await admit(proxy, index)).kind, 'in');
    await settle(proxy);
    const fullReports = reports.filter(({ whole }) => whole);
    assert.deepEqual(
      fullReports.map(({ uses }) => uses.length),
      [teams],
    );
    const before = reports.length;
    const verdict = await admit(proxy, 7);
    await settle(proxy);
    const reportedTeams = reports.slice(before).flatMap(({ uses }) => uses.map(({ team }) => team));
    assert.deepEqual([...new Set(reportedTeams)], [nameOf(7)]);
    assert.equal(used(7), 2);
    assert.ok(verdict.kind === 'in');
    verdict.refund();
    await settle(proxy);
    assert.equal(used(7), 1);
  });
  it('renew all teams of a proxy with any message, and count a silent proxy with its lease', async () => {
    const { reports, proxyOf, admit, used, settle, collectReports } = setUpDuty(4);
    await collectReports();
    const [alive, silent] = [proxyOf('alive'), proxyOf('silent')];
    assert.equal((await admit(alive, 0)).kind, 'in');
    assert.equal((await admit(silent, 1)).kind, 'in');
    await settle(alive, silent);
    const before = reports.length;
    await everyHalfSecond(silentAfterMs + 500, alive.maintain);
    const laterReports = reports.slice(before);
    assert.equal(
      laterReports.reduce((sum, { uses }) => sum + uses.length, 0),
      0,
    );
    assert.equal(used(0), 1);
    assert.equal(used(1), 1);
  });
  it('cover all teams again for a new holder, and for one that did not respond', async () => {
    const { reports, proxyOf, admit, used, settle, collectReports, moveHolder, setUp } = setUpDuty(4);
    await collectReports();
    const proxy = proxyOf('a');
    for (let index = 0; index < teams; index += 1) await admit(proxy, index);
    await settle(proxy);
    moveHolder();
    const before = reports.length;
    await everyHalfSecond(collectMs, proxy.maintain);
    const fullReports = reports.slice(before).filter(({ whole }) => whole);
    assert.deepEqual(
      fullReports.map(({ uses }) => uses.length),
      [teams],
    );
    for (let index = 0; index < teams; index += 1) assert.equal(used(index), 1);
    await settle(proxy);
    assert.equal(reports.slice(before).filter(({ whole }) => whole).length, 1);
    setUp(false);
    proxy.maintain();
    await repeatFor(600, () => {});
    assert.deepEqual([reports.at(-1)?.whole, reports.at(-1)?.uses.length], [true, teams]);
    setUp(true);
    const later = reports.length;
    proxy.maintain();
    await repeatFor(500, () => {});
    assert.deepEqual(
      reports.slice(later).map(({ whole, uses }) => [whole, uses.length]),
      [[true, teams]],
    );
  });
  it('always cover all teams for a holder of an earlier version, which renews no entries', async () => {
    const { reports, responses, proxyOf, admit, collectReports, setEarlierVersion } = setUpDuty(4);
    setEarlierVersion();
    await collectReports();
    const proxy = proxyOf('a');
    for (let index = 0; index < teams; index += 1) await admit(proxy, index);
    for (let round = 0; round < 3; round += 1) {
      const before = reports.length;
      proxy.maintain();
      await nextTurn();
      await nextTurn();
      assert.deepEqual(
        reports.slice(before).map(({ uses }) => uses.length),
        [teams],
      );
    }
    assert.ok(responses.every(({ life }) => !life));
  });
  it('leave the usage of a proxy before its restart counted, whatever it reports afterwards', async () => {
    const { proxyOf, admit, used, settle, collectReports } = setUpDuty(4);
    await collectReports();
    const first = proxyOf('a');
    for (let count = 0; count < 10; count += 1) await admit(first, 0);
    await settle(first);
    assert.equal(used(0), 10);
    const second = proxyOf('a');
    await admit(second, 1);
    await settle(second);
    assert.equal(used(0), 10);
    await repeatFor(silentAfterMs + 200, second.maintain);
    assert.equal(used(0), 10);
  });
  it('let all proxies together admit the whole quota in any order, and no more', async () => {
    const { proxyOf, admit, settle, collectReports } = setUpDuty(5);
    await collectReports();
    const random = Random.of(7);
    const proxies = ['a', 'b', 'c', 'd', 'e'].map(proxyOf);
    let admitted = 0;
    for (let round = 0; round < 3 * quota.requests; round += 1) {
      const proxy = random.pick(proxies);
      if (random.below(3) === 0) proxy.maintain();
      if ((await admit(proxy, 0)).kind === 'in') admitted += 1;
    }
    assert.ok(admitted <= quota.requests, `${admitted} were admitted`);
    await settle(...proxies);
    for (let round = 0; round < quota.requests; round += 1)
      if ((await admit(random.pick(proxies), 0)).kind === 'in') admitted += 1;
    assert.equal(admitted, quota.requests);
  });
});
