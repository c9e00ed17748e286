/** Command line against a running fleet: tables and JSON output, and evacuations, which have commands of their own. */

import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

type Ended = { readonly status: number; readonly stdout: string; readonly stderr: string };

const program = fileURLToPath(new URL('../src/bin/bramblebend.js', import.meta.url));
const run = (...args: string[]): Promise<Ended> =>
  new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [program, ...args],
      { timeout: 20_000 },
      (_error, stdout, stderr) => resolve({ status: child.exitCode ?? -1, stdout, stderr }),
    );
  });
const splitColumns = (line: string): string[] => line.split(/ {2,}/);

describe('the command line and a running fleet', { timeout: 90_000 }, () => {
  let bench: Bench;
  let connectionFlags: string[];

  const runConnected = (...args: string[]) => run(...args, ...connectionFlags);
  const readJson = async (...args: string[]) => {
    const ended = await runConnected(...args, '--json');
    assert.equal(ended.status, 0, ended.stderr);
    return JSON.parse(ended.stdout);
  };
  const readTable = async (...args: string[]): Promise<string[][]> => {
    const ended = await runConnected(...args);
    assert.equal(ended.status, 0, ended.stderr);
    return ended.stdout.trimEnd().split('\n').map(splitColumns);
  };
  /** Reads until the condition holds: members become known within a second or two. */
  const until = async <T>(read: () => Promise<T>, holds: (seen: T) => boolean): Promise<T> => {
    for (;;) {
      const seen = await read();
      if (holds(seen)) return seen;
    }
  };

  before(async () => {
    bench = await Bench.start({ fronts: 2, inFirst: 2 });
    const handle: Bench.Handle = (_incoming, response) => Bench.sse(response, ['one']);
    const servers = await Promise.all(
      ['a', 'b', 'c'].map((region) =>
        bench.backEnd({ instance: `${region}1`, group: 'llm', region, handle }),
      ),
    );
    await bench.list(servers);
    const { http } = bench.kit.cores[0]!;
    connectionFlags = ['--control', http, '--token', FleetKit.operatorToken];
    // While a core that has just started knows no proxy yet, the command exits with 3.
    await until(
      () => runConnected('directory'),
      ({ status }) => status !== 3,
    );
  });
  after(() => bench.stop());

  it('shows the proxies for clients, of every zone or of one', async () => {
    const proxiesIn = (zone: string) =>
      bench.kit.fronts.filter((front) => front.zone === zone).map((front) => front.listen);
    const isListedAtHome =
      (seen: readonly (readonly string[])[]) =>
      ({ zone, listen }: { zone: string; listen: string }) =>
        seen.some(([from, , at, address]) => from === zone && at === zone && address === listen);
    const rows = await until(
      () => readTable('directory'),
      (seen) => bench.kit.fronts.every(isListedAtHome(seen)),
    );
    assert.deepEqual(rows[0], ['FROM', 'PROXY', 'ZONE', 'ADDRESS']);
    assert.equal(rows.filter(([from]) => from === 'a-1').length, 2);
    assert.deepEqual(
      rows
        .filter(([from]) => from === 'a-1')
        .map((row) => row[3])
        .sort(),
      proxiesIn('a-1').sort(),
    );
    const { zones } = await readJson('directory', 'b-1');
    assert.deepEqual(
      zones.map((one: { zone: string; proxies: { address: string }[] }) => [
        one.zone,
        one.proxies[0]?.address,
      ]),
      [['b-1', proxiesIn('b-1')[0]]],
    );
    const wrong = await runConnected('directory', 'nowhere');
    assert.deepEqual(
      [wrong.status, wrong.stdout],
      [1, 'the manifest names no zone nowhere; it names a-1, b-1, c-1\n'],
    );
  });

  it('begins and finishes an evacuation, which changes nothing else and may be repeated', async () => {
    const before = JSON.parse((await runConnected('manifest', 'get')).stdout);
    for (const round of [1, 2]) {
      const begun = await runConnected('evacuation', 'begin', 'c-1');
      assert.deepEqual([begun.status, begun.stdout], [0, 'evacuated now: c-1\n'], `round ${round}`);
    }
    assert.deepEqual(await readTable('evacuation', 'list'), [
      ['ZONE', 'REGION', 'STATE'],
      ['a-1', 'a', 'open'],
      ['b-1', 'b', 'open'],
      ['c-1', 'c', 'evacuated'],
    ]);
    const during = JSON.parse((await runConnected('manifest', 'get')).stdout);
    assert.deepEqual(
      { ...during, evacuations: before.evacuations },
      { ...before, evacuations: before.evacuations },
    );
    assert.deepEqual(during.evacuations, ['c-1']);
    const { servers } = await readJson('servers');
    assert.equal(servers.find((one: { instance: string }) => one.instance === 'c1').state, 'evacuated');
    assert.match((await runConnected('audit')).stdout, /evacuate c-1/);
    assert.deepEqual(await readJson('evacuation', 'finish', 'c-1'), { evacuations: [] });
    const unknown = await runConnected('evacuation', 'begin', 'nowhere');
    assert.equal(unknown.status, 1);
    assert.match(unknown.stderr, /names no zone nowhere; it names a-1, b-1, c-1/);
  });

  it('shows servers with their state, and at how many proxies they are warming up', async () => {
    const rows = await readTable('servers', 'llm');
    assert.deepEqual(rows[0], [
      ...['GROUP', 'INSTANCE', 'ZONE', 'ADDRESS', 'STATE', 'QUEUED', 'ACTIVE', 'SLOTS', 'MEMORY'],
      ...['COLD AT', 'OUT AT', 'DARK AT'],
    ]);
    assert.deepEqual(
      rows.slice(1).map((row) => [row[0], row[1], row[2], row[4]]),
      ['a', 'b', 'c'].map((region) => ['llm', `${region}1`, `${region}-1`, 'open']),
    );
    const late = await bench.backEnd({
      instance: 'a2',
      group: 'llm',
      region: 'a',
      handle: (_incoming, response) => Bench.sse(response, ['one']),
    });
    const listed = await bench.kit.operate('GET', '/v1/servers');
    const { serial, servers: kept } = listed.body as { serial: number; servers: object[] };
    const added = { instance: 'a2', group: 'llm', address: late.address, region: 'a', zone: 'a-1' };
    const put = await bench.kit.operate(
      'PUT',
      '/v1/servers',
      { serial: serial + 1, servers: [...kept, added] },
      { authorization: `Bearer ${FleetKit.platformToken}` },
    );
    assert.equal(put.status, 200);
    await InForce.everywhere(bench.kit);
    const { proxies, servers } = await readJson('servers', 'llm');
    assert.equal(proxies, 3);
    assert.equal(servers.find((one: { instance: string }) => one.instance === 'a2').cold.length, 3);
    const wrong = await runConnected('servers', 'nothing');
    assert.deepEqual([wrong.status, wrong.stdout], [1, 'the list has no server of nothing; it has llm\n']);
  });

  it('shows the tokens for extra tries, in the pool and at each proxy', async () => {
    await Promise.all(Array.from({ length: 40 }, () => bench.chat('again')));
    const { holder, pooled, groups, proxies } = await until(
      () => readJson('budget'),
      (seen) => seen.pooled > 0,
    );
    assert.ok(bench.kit.cores.some((core) => core.node === holder));
    assert.ok(pooled <= 8);
    assert.deepEqual(Object.keys(groups), ['llm']);
    assert.equal(proxies.length, 3);
    assert.ok(proxies.every((one: { tokens: number | null }) => typeof one.tokens === 'number'));
    assert.deepEqual((await readTable('budget'))[0], ['ZONE', 'HELD BY', 'TOKENS']);
  });

  it('shows the distribution tree, each node once, a proxy under its agent', async () => {
    const ended = await runConnected('tree');
    const lines = ended.stdout.trimEnd().split('\n').slice(1);
    const names = lines.map((line) => splitColumns(line.trim())[0]);
    const { cores, fronts } = bench.kit;
    const wanted = [
      ...cores.map((core) => core.node),
      ...fronts.flatMap(({ node }) => [node, `${node}-agent`]),
    ];
    assert.deepEqual([...names].sort(), wanted.sort());
    for (const { node } of fronts) {
      const at = names.indexOf(node);
      assert.equal(names[at - 1], `${node}-agent`);
      assert.ok(lines[at]!.search(/\S/) > lines[at - 1]!.search(/\S/));
    }
    const { below } = await readJson('tree');
    assert.equal(below.length, 2 * fronts.length);
  });

  it('reports a program that does not answer, and what can be done', async () => {
    const front = bench.kit.fronts[0]!;
    front.proxy?.signal('SIGSTOP');
    const ended = await runConnected('budget');
    front.proxy?.signal('SIGCONT');
    assert.equal(ended.status, 0);
    assert.match(ended.stdout, new RegExp(`${front.node} +no answer`));
    assert.match(ended.stderr, /no answer at the operations port of .*: ask from where it can be reached/);
  });

  it('refuses unknown flags and tokens', async () => {
    const unknown = await runConnected('servers', '--jsn');
    assert.equal(unknown.status, 2);
    assert.match(unknown.stderr, /--jsn is not known here/);
    const stranger = await run('evacuation', 'begin', 'c-1', ...connectionFlags.slice(0, 3), 'whatever');
    assert.equal(stranger.status, 1);
    assert.match(stranger.stderr, /token is missing or unknown/);
  });
});
