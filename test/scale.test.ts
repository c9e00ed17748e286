// The scale run at a small size, whole: it ends by itself, every node comes to hold each change, and what a role
// sends and gets stays within bounds that follow from the timers and the number of nodes, not from the machine.
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { promisify } from 'node:util';
import type { Run } from '../tools/scale/run.js';

const nodes = 16;
const cores = 3;
const script = new URL('../tools/scale.js', import.meta.url).pathname;

describe('scale run', () => {
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-scale-test-'));
  let report: Run.Report;
  let printed = '';

  before(async () => {
    const file = join(folder, 'report.json');
    const flags = { nodes, rules: 40, servers: 70, tenants: 30, seconds: 2, changes: 1, json: file };
    const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
    const run = promisify(execFile)(process.execPath, [script, ...args], { timeout: 150_000 });
    printed = (await run).stdout;
    report = JSON.parse(readFileSync(file, 'utf8')) as Run.Report;
  });
  after(() => rmSync(folder, { recursive: true, force: true }));

  const rate = (role: string) => {
    const found = report.rest[role];
    assert.ok(found, `no figures of ${role}`);
    return found;
  };
  const extra = (event: string, role: string) => {
    const found = report.events.find((one) => one.name.startsWith(event))?.extra[role];
    assert.ok(found, `no figures of ${role} in ${event}`);
    return found;
  };

  it('sees every node as a member, in a tree of two relays a zone', () => {
    assert.equal(report.members, 2 * nodes + cores);
    const depths = Object.entries(report.depths);
    assert.equal(
      depths.reduce((sum, [, count]) => sum + count, 0),
      nodes,
    );
    const deepest = Math.max(...depths.map(([depth]) => Number(depth)));
    assert.ok(deepest <= 3, `an agent stands ${deepest} deep`);
  });
  it('tells of every event when its last node was through it', () => {
    const names = report.events.map((event) => event.name.replace(/ of \d+/, ''));
    assert.deepEqual(names, [
      'change of manifest',
      'change of servers',
      'relay frozen',
      'zone lost',
      'zone back',
      'restart',
      'primary lost',
      'core back',
    ]);
    for (const event of report.events) assert.ok(event.last !== undefined, `${event.name}: ${event.why}`);
    for (const event of report.events) assert.ok(printed.includes(event.name));
  });
  it('keeps a leaf and a proxy at rest within the frames that their timers allow', () => {
    const most = { leaf: 40, proxy: 20 };
    for (const [role, frames] of Object.entries(most)) {
      const { sent, got, seconds } = rate(role);
      assert.ok((sent.frames + got.frames) / seconds < frames, `${role}: ${JSON.stringify(rate(role))}`);
      assert.ok((sent.bytes + got.bytes) / seconds < 4096, `${role} spends more than 4 KB/s`);
    }
  });
  it('sends no roster and no view while nothing changes', () => {
    for (const role of ['primary', 'core', 'core2', 'relay', 'leaf', 'proxy'])
      for (const kind of ['roster', 'news', 'patch'])
        assert.equal(rate(role).kinds[kind]?.frames ?? 0, 0, `${kind} at ${role}`);
  });
  it('tells the cores of a change in force by what changed, so that it grows with the nodes, not their square', () => {
    for (const event of ['change of manifest', 'change of servers'])
      for (const role of ['primary', 'core', 'core2']) {
        const { bytes } = extra(event, role);
        assert.ok(bytes < nodes * 6144, `${event} cost the ${role} ${bytes} bytes`);
      }
  });
  it('sends of a change what changed, not the whole', () => {
    const whole = report.bytes.manifest + report.bytes.servers;
    assert.ok(extra('change of manifest', 'proxy').bytes < whole / 2);
    assert.ok(extra('change of servers', 'proxy').bytes < whole / 2);
  });
});
