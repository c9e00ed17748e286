/**
 * Load reports: one core polls the servers, every proxy receives the reports and avoids full servers, and this continues after
 * the core that polls is killed.
 */
import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { Bench } from './bench.js';

const manifest = {
  zones: Bench.manifest.zones,
  groups: { reader: { kind: 'model', models: ['once'], regions: ['a'], proof: { header: 'x-wanted' } } },
  homes: { all: { regions: ['a'] } },
  teams: { everybody: { keys: [], home: 'all', open: true } },
  rules: [
    {
      name: 'reads',
      match: { path: '/reads/*' },
      groups: ['reader'],
      runs: 'repeatable',
      home: { regions: ['a'] },
      aim: 2000,
    },
  ],
} as unknown as Document;

describe('load reports', () => {
  let bench: Bench;
  let servers: Bench.BackEnd[];
  let full = 's1';
  const polls: { at: number; by: string }[] = [];

  before(async () => {
    const own = new URL('../tools/reporting/', import.meta.url);
    const usual = new URL('../', import.meta.url);
    bench = await Bench.start({
      fronts: 3,
      manifest,
      builtIn: (name) => (name.startsWith('core-') ? own : usual),
    });
    const make = (instance: string) =>
      bench.backEnd({
        instance,
        group: 'reader',
        region: 'a',
        handle(incoming, response) {
          if (incoming.url !== '/load') return void response.end(instance);
          polls.push({ at: performance.now(), by: String(incoming.headers['x-asked-by']) });
          response.end(JSON.stringify({ queued: 0, active: 0, bound: instance === full ? 1 : 0 }));
        },
      });
    servers = await Promise.all(['s1', 's2'].map(make));
    await bench.list(servers);
  });
  after(() => bench.stop());

  const send = async (front: number) => {
    const headers = { authorization: '', 'content-type': 'text/plain' };
    return (await Bench.call(bench.kit.fronts[front]!.listen, '/reads/x', 'body', headers)).text;
  };
  const isAvoided = async () => {
    const served = await Promise.all(Array.from({ length: 30 }, (_none, index) => send(index % 3)));
    return served.every((name) => name !== full);
  };
  const isAvoidedWithin = async (span: number) => {
    const from = performance.now();
    for (let inRow = 0; inRow < 3; ) {
      if (performance.now() - from > span) return false;
      const isHeard = polls.filter(({ at }) => at > from).length >= 2 * servers.length;
      inRow = isHeard && (await isAvoided()) ? inRow + 1 : 0;
      if (!isHeard) await send(0);
    }
    return true;
  };
  const pollers = (from: number) => [...new Set(polls.filter(({ at }) => at >= from).map(({ by }) => by))];

  it('reach every proxy from one core, and again after that core was killed', async () => {
    assert.ok(await isAvoidedWithin(20_000), 'a full server is avoided by every proxy');
    const from = performance.now();
    full = 's2';
    assert.ok(await isAvoidedWithin(10_000), 'and so is the next');
    const firstPollers = pollers(from);
    assert.equal(firstPollers.length, 1, firstPollers.join());
    await bench.kit.cores.find(({ node }) => node === firstPollers[0])!.process!.end('SIGKILL');
    const killed = performance.now();
    full = 's1';
    assert.ok(await isAvoidedWithin(30_000), 'and again under another primary');
    const nextPollers = pollers(killed);
    assert.equal(nextPollers.length, 1, nextPollers.join());
    assert.notEqual(nextPollers[0], firstPollers[0]);
  });
});
