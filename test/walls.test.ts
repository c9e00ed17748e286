// Walls between tenants through whole programs over loopback: which salt reaches a server for whom, through
// retries, resumed streams, rotation and restarts; what is refused; and that the secret shows nowhere.
import assert from 'node:assert/strict';
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, beforeEach, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { Deployment } from '../tools/deployments/deployment.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const chat = '/v1/chat/completions';
const keys = { testers: Bench.key, others: 'another-key', kin: 'a-key-of-kin', open: '' };
type Tenant = keyof typeof keys;

const [once, again] = Bench.manifest.rules;
const group = (name: string, wall: object) => ({
  kind: 'model',
  models: ['once'],
  regions: ['a'],
  identity: { path: '/v1/models', service: { at: { pointer: '/data/0/owned_by' }, is: name } },
  wall,
});
const manifest = {
  ...Bench.manifest,
  groups: {
    ...Bench.manifest.groups,
    llm: { ...Bench.manifest.groups.llm!, wall: { by: 'field' } },
    small: { ...Bench.manifest.groups.small!, wall: { by: 'field', name: 'salt_of_block' } },
    marked: group('marked', { by: 'header', name: 'x-wall' }),
    bare: group('bare', { by: 'none' }),
    alone: group('alone', { by: 'none', for: 'testers' }),
  },
  teams: {
    testers: { keys: [Deployment.hash(keys.testers)], home: 'ab' },
    others: { keys: [Deployment.hash(keys.others)], home: 'ab' },
    kin: { keys: [Deployment.hash(keys.kin)], home: 'ab' },
    open: { keys: [], home: 'ab', open: true },
  },
  rules: [
    { ...once, name: 'leaflet', match: { path: chat, headers: { 'x-leaflet': 'yes' } }, wall: 'shared' },
    ...['marked', 'bare', 'alone'].map((name) => ({
      ...once,
      name,
      match: { path: chat, headers: { 'x-to': name } },
      groups: [name],
    })),
    once,
    { ...again, fallback: [{ groups: ['small'], model: 'lesser' }] },
    {
      ...again,
      name: 'taken-up',
      match: { path: chat, models: ['lesser'] },
      groups: ['small'],
      runs: 'resumable',
      fallback: [],
    },
    ...Bench.manifest.rules.slice(2),
  ],
  walls: { generation: 1, owners: { family: { teams: ['others', 'kin'] } } },
} as unknown as Document;

const serve: Bench.Handle = (_request, response) => Bench.sse(response, ['one', 'two']);
const reset: Bench.Handle = (request) => void request.socket.resetAndDestroy();

/** How often a request is made anew whose proxy had just passed its tokens on. */
const mostAsks = 10;

describe('walls', () => {
  let bench: Bench;
  const made: Record<string, Bench.BackEnd> = {};
  let document = manifest;

  const ask = (model: string, tenant: Tenant, more: object = {}, headers: Record<string, string> = {}) =>
    Bench.call(
      bench.kit.fronts[headers.front === '1' ? 1 : 0]!.listen,
      chat,
      { model, stream: true, messages: [{ role: 'user', content: 'the very same prompt' }], ...more },
      {
        ...(keys[tenant] === '' ? { authorization: '' } : { authorization: `Bearer ${keys[tenant]}` }),
        ...headers,
      },
    );
  /**
   * Asks once the proxy has earned tokens for two further tries. It passes on what is beyond one each half second, and may do
   * so just before it needs the second one: it says so then, and the request is made anew.
   */
  const askWithTokens = async (model: string, tenant: Tenant) => {
    for (let count = 1; ; count += 1) {
      await Promise.all(Array.from({ length: 12 }, () => ask('once', tenant, {}, { 'x-to': 'marked' })));
      for (const one of Object.values(made)) one.reached.length = 0;
      const answer = await ask(model, tenant);
      const isOutOfTokens = answer.status >= 500 && JSON.parse(answer.text).error.code === 'budget';
      if (!isOutOfTokens || count === mostAsks) return answer;
    }
  };
  const reached = () => Object.values(made).flatMap((one) => one.reached);
  const saltOf = async (tenant: Tenant, more: object = {}, headers: Record<string, string> = {}) => {
    const before = new Set(reached());
    const answer = await ask('once', tenant, more, headers);
    assert.equal(answer.status, 200, answer.text);
    const mine = reached().filter((one) => !before.has(one));
    assert.equal(mine.length, 1);
    return String((JSON.parse(mine[0]!.body) as Record<string, unknown>).cache_salt);
  };
  const put = async (next: Document) => {
    const now = await bench.kit.operate('GET', '/v1/manifest');
    return bench.kit.operate('PUT', '/v1/manifest', next, { 'if-match': now.etag ?? '"0"' });
  };
  const enforce = async (next: Document) => {
    const answer = await put(next);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    document = next;
    await InForce.everywhere(bench.kit);
  };
  const rotated = (): Document => ({
    ...document,
    walls: { ...document.walls!, generation: document.walls!.generation + 1 },
  });
  const keeper = { authorization: `Bearer ${FleetKit.keeperToken}` };
  const readSecret = async () => {
    const { body } = await bench.kit.operate('GET', '/v1/manifest', undefined, keeper);
    return String((body.walls as Record<string, unknown>).secret);
  };

  before(async () => {
    bench = await Bench.start({ manifest, fronts: 2 });
    for (const [instance, group, region] of [
      ['a1', 'llm', 'a'],
      ['b1', 'llm', 'b'],
      ['s1', 'small', 'a'],
      ['s2', 'small', 'a'],
      ['m1', 'marked', 'a'],
      ['n1', 'bare', 'a'],
      ['o1', 'alone', 'a'],
    ] as const)
      made[instance] = await bench.backEnd({ instance, group, region, handle: serve });
    await bench.list(Object.values(made));
  });
  after(() => bench.stop());
  beforeEach(async () => {
    for (const one of Object.values(made)) {
      one.handle = serve;
    }
    await Promise.all(Array.from({ length: 12 }, () => ask('again', 'testers')));
    for (const one of Object.values(made)) one.reached.length = 0;
  });

  it('gives each tenant a salt of its own, the same at every proxy, and owners’ teams one', async () => {
    const [testers, others] = [await saltOf('testers'), await saltOf('others')];
    const [kin, open] = [await saltOf('kin'), await saltOf('open')];
    assert.match(testers, /^[\w-]{43}$/);
    assert.equal(new Set([testers, others, open]).size, 3);
    assert.equal(others, kin);
    assert.equal(await saltOf('testers', {}, { front: '1' }), testers);
    assert.equal(await saltOf('others', {}, { front: '1' }), others);
  });

  it('lets no value of a caller through, in any field or header that any group takes', async () => {
    const own = await saltOf('testers');
    const forged = { cache_salt: await saltOf('others'), salt_of_block: 'mine', kept: 'yes' };
    assert.equal(await saltOf('testers', forged, { 'x-wall': 'mine' }), own);
    const sent = reached().at(-1)!;
    const body = JSON.parse(sent.body) as Record<string, unknown>;
    assert.equal(body.kept, 'yes');
    assert.equal('salt_of_block' in body, false);
    assert.equal(sent.headers['x-wall'], undefined);
    const twice = `{"model":"once","cache_salt":"x","messages":[],"cache_salt":"y"}`;
    assert.equal((await bench.call(chat, twice)).status, 200);
    assert.deepEqual(
      reached()
        .at(-1)!
        .body.match(/"cache_salt":"[^"]*"/g),
      [`"cache_salt":"${own}"`],
    );
  });

  it('sets a header where the group takes one', async () => {
    assert.equal(
      (await ask('once', 'testers', { cache_salt: 'x' }, { 'x-to': 'marked', 'x-wall': 'forged' })).status,
      200,
    );
    const [sent] = made.m1!.reached;
    assert.equal(sent!.headers['x-wall'], await saltOf('testers'));
    assert.equal(sent!.body.includes('cache_salt'), false);
  });

  it('keeps the salt on a retry elsewhere and on a fallback to another group', async () => {
    made.a1!.handle = reset;
    assert.equal((await ask('again', 'others')).status, 200);
    const [first, second] = [made.a1!, made.b1!].map((one) => JSON.parse(one.reached[0]!.body).cache_salt);
    assert.equal(first, second);
    made.b1!.handle = reset;
    const answer = await askWithTokens('again', 'others');
    assert.equal(answer.headers['bramblebend-group'], 'small', answer.text);
    const small = [...made.s1!.reached, ...made.s2!.reached].map((one) => JSON.parse(one.body));
    assert.deepEqual(
      small.map((one) => [one.salt_of_block, one.cache_salt]),
      [[first, undefined]],
    );
  });

  it('resumes a stream under the generation that it began with, though the walls rotate meanwhile', async () => {
    await Promise.all(Array.from({ length: 12 }, () => ask('once', 'testers', {}, { 'x-to': 'marked' })));
    let cut: () => void = () => {};
    const begun = new Promise<void>((resolve) => {
      const first: Bench.Handle = (request, response) => {
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.write('id: 1\ndata: one\n\n');
        for (const one of [made.s1!, made.s2!]) one.handle = second;
        cut = () => request.socket.resetAndDestroy();
        resolve();
      };
      const second: Bench.Handle = (_request, response) => {
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.end('id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
      };
      for (const one of [made.s1!, made.s2!]) one.handle = first;
    });
    const running = ask('lesser', 'testers', {}, { 'bramblebend-timeouts': 'idle=8000' });
    await begun;
    const old = await saltOf('testers');
    await enforce(rotated());
    cut();
    const answer = await running;
    assert.equal(answer.text, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
    const salts = [...made.s1!.reached, ...made.s2!.reached].map((one) => JSON.parse(one.body).salt_of_block);
    assert.deepEqual(salts, [old, old]);
    assert.notEqual(await saltOf('testers'), old);
  });

  it('refuses as not run what servers without walls might keep, and serves the one that has them alone', async () => {
    const bare = await ask('once', 'testers', {}, { 'x-to': 'bare' });
    assert.deepEqual([bare.status, bare.headers['bramblebend-ran']], [503, 'no']);
    assert.equal(JSON.parse(bare.text).error.code, 'no_wall');
    const foreign = await ask('once', 'others', {}, { 'x-to': 'alone' });
    assert.deepEqual([foreign.status, foreign.headers['bramblebend-ran']], [503, 'no']);
    assert.equal(JSON.parse(foreign.text).error.code, 'no_wall');
    assert.equal((await ask('once', 'testers', {}, { 'x-to': 'alone' })).status, 200);
    assert.equal(JSON.parse(made.o1!.reached[0]!.body).cache_salt, undefined);
    assert.deepEqual([made.n1!.reached.length, made.o1!.reached.length], [0, 1]);
    const group = { ...document.groups.alone!, wall: { by: 'none', for: 'family' } };
    const given = await put({ ...document, groups: { ...document.groups, alone: group } } as Document);
    assert.equal(given.status, 422);
    assert.match(JSON.stringify(given.body), /may hold work of others/);
  });

  it('shares only what a rule says is shared by all', async () => {
    const shared = await saltOf('testers', {}, { 'x-leaflet': 'yes' });
    assert.equal(await saltOf('others', {}, { 'x-leaflet': 'yes' }), shared);
    assert.notEqual(await saltOf('testers'), shared);
  });

  it('rotates by one change, never back, and with a new secret only in a new generation', async () => {
    const tenants = ['testers', 'others', 'open'] as const;
    const all = async () => [await saltOf('testers'), await saltOf('others'), await saltOf('open')];
    const olds = await all();
    const { generation } = document.walls!;
    await enforce(rotated());
    const news = await all();
    assert.equal(new Set([...olds, ...news]).size, 2 * tenants.length);
    const fallen = await put({ ...document, walls: { ...document.walls!, generation } });
    assert.equal(fallen.status, 422);
    assert.match(JSON.stringify(fallen.body), /must not fall below/);
    const renewed = await put({ ...document, walls: { ...document.walls!, secret: 'new' } });
    assert.equal(renewed.status, 422);
    assert.match(JSON.stringify(renewed.body), /must rise above/);
    const secret = await readSecret();
    await enforce({ ...rotated(), walls: { ...rotated().walls!, secret: 'new' } });
    assert.notEqual(await readSecret(), secret);
    const { secret: _new, ...walls } = document.walls!;
    document = { ...document, walls };
    const kept = await readSecret();
    const now = await bench.kit.operate('GET', '/v1/manifest');
    const back = await bench.kit.operate(
      'POST',
      '/v1/manifest/rollback',
      { revision: 1 },
      { 'if-match': now.etag! },
    );
    if (back.status === 200) await InForce.everywhere(bench.kit);
    assert.equal(await readSecret(), kept);
    await enforce(document);
    const last = await all();
    assert.equal(new Set([...olds, ...news, ...last]).size, 3 * tenants.length);
  });

  it('shows the secret and the salts to nobody without the right, and keeps them sealed', async () => {
    const secret = await readSecret();
    assert.match(secret, /^[0-9a-f]{64}$/);
    const hidden = [secret, await saltOf('testers'), await saltOf('others')];
    const { kit } = bench;
    const told: [string, string][] = [];
    for (const path of ['manifest', 'status', 'audit', 'nodes', 'usage', 'servers'])
      told.push([path, JSON.stringify((await kit.operate('GET', `/v1/${path}`)).body)]);
    const ports = [
      ...kit.cores.map((one) => one.http),
      ...kit.fronts.flatMap((one) => [one.ops, one.agentOps]),
    ];
    for (const port of ports)
      for (const path of ['health', 'metrics', 'log'])
        told.push([`${port} ${path}`, await (await fetch(`http://${port}/${path}`)).text()]);
    const files = (folder: string): string[] =>
      readdirSync(folder, { withFileTypes: true }).flatMap((one) =>
        one.isDirectory() ? files(join(folder, one.name)) : [join(folder, one.name)],
      );
    for (const file of files(kit.folder)) told.push([file, readFileSync(file, 'latin1')]);
    for (const [where, text] of told)
      for (const one of hidden) assert.equal(text.includes(one), false, `${where} shows a secret`);
    assert.match(told[1]![1], /"generation":/);
    assert.match(told[2]![1], /walls of generation/);
  });

  it('keeps secret and salts over a restart of all nodes, and opens its state under no other key', async () => {
    const { kit } = bench;
    const before = [await saltOf('testers'), await saltOf('others')];
    const keyFile = join(kit.folder, 'walls.key');
    const key = readFileSync(keyFile, 'utf8');
    const all = [
      ...kit.cores.map((one) => one.process),
      ...kit.fronts.flatMap((one) => [one.agent, one.proxy]),
    ];
    await Promise.all(all.map((one) => one?.end('SIGKILL')));
    writeFileSync(keyFile, '0'.repeat(64));
    const holding = kit.cores.map(({ data }) => readFileSync(join(data, 'state.log')).length > 0);
    const started = await Promise.allSettled(kit.cores.map((core) => kit.startCore(core)));
    const refused = started.map((one) => one.status === 'rejected');
    assert.deepEqual(refused, holding);
    assert.ok(refused.filter(Boolean).length >= 2, 'as many disks in sync as may be lost, and one more');
    await Promise.all(kit.cores.map((one) => one.process?.end('SIGKILL')));
    writeFileSync(keyFile, key);
    await Promise.all(kit.cores.map((core) => kit.startCore(core)));
    await Promise.all([...kit.fronts.map(kit.startAgent), ...kit.fronts.map(kit.startProxy)]);
    await InForce.everywhere(kit);
    assert.deepEqual([await saltOf('testers'), await saltOf('others')], before);
  });
});

describe('without walls', () => {
  it('passes a body on as it came, and takes no walls without a key file', async () => {
    const bench = await Bench.start();
    try {
      const one = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve });
      await bench.list([one]);
      const text = '{"model":"once",  "cache_salt":"own","messages":[]}';
      assert.equal((await bench.call(chat, text)).status, 200);
      assert.equal(one.reached[0]!.body, text);
      const now = await bench.kit.operate('GET', '/v1/manifest');
      const put = await bench.kit.operate('PUT', '/v1/manifest', manifest, { 'if-match': now.etag! });
      assert.equal(put.status, 422);
      assert.match(JSON.stringify(put.body), /key_file/);
    } finally {
      await bench.stop();
    }
  });
});
