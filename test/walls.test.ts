/**
 * Isolation of tenants (walls) through whole programs over loopback: which salt reaches a server for which tenant, through
 * retries, resumed streams, rotation and restarts; what is refused; and that the secret is visible nowhere.
 */

import assert from 'node:assert/strict';
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, beforeEach, describe, it } from 'node:test';
import type { Document } from '../src/manifest/document.js';
import { Deployment } from '../tools/deployments/deployment.js';
import { FleetKit } from '../tools/fleet-kit.js';
import { InForce } from '../tools/in-force.js';
import { Bench } from './bench.js';

const chatPath = '/v1/chat/completions';
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
    { ...once, name: 'leaflet', match: { path: chatPath, headers: { 'x-leaflet': 'yes' } }, wall: 'shared' },
    ...['marked', 'bare', 'alone'].map((name) => ({
      ...once,
      name,
      match: { path: chatPath, headers: { 'x-to': name } },
      groups: [name],
    })),
    once,
    { ...again, fallback: [{ groups: ['small'], model: 'lesser' }] },
    {
      ...again,
      name: 'taken-up',
      match: { path: chatPath, models: ['lesser'] },
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

/** How often a request is repeated if its proxy had just returned its tokens to the pool. */
const maxAttempts = 10;

describe('walls', () => {
  let bench: Bench;
  const servers: Record<string, Bench.BackEnd> = {};
  let document = manifest;

  const ask = (model: string, tenant: Tenant, more: object = {}, headers: Record<string, string> = {}) =>
    Bench.call(
      bench.kit.fronts[headers.front === '1' ? 1 : 0]!.listen,
      chatPath,
      { model, stream: true, messages: [{ role: 'user', content: 'the very same prompt' }], ...more },
      {
        ...(keys[tenant] === '' ? { authorization: '' } : { authorization: `Bearer ${keys[tenant]}` }),
        ...headers,
      },
    );
  /** Earns tokens for two extra tries of the model's group, by requests that all servers answer well. */
  const earnRetryTokens = async (model: string, tenant: Tenant) => {
    const handles = Object.values(servers).map((one) => [one, one.handle] as const);
    for (const [one] of handles) one.handle = serve;
    await Promise.all(Array.from({ length: 12 }, () => ask(model, tenant)));
    for (const [one, handle] of handles) {
      one.handle = handle;
      one.reached.length = 0;
    }
  };
  /**
   * Sends a request after the proxy has earned tokens for two extra tries. Every half second the proxy returns all but one
   * to the pool, possibly just before it needs the second; it then answers with the code `budget` and the request is repeated.
   */
  const askWithRetryTokens = async (model: string, tenant: Tenant) => {
    for (let count = 1; ; count += 1) {
      await earnRetryTokens(model, tenant);
      const answer = await ask(model, tenant);
      const isOutOfTokens = answer.status >= 500 && JSON.parse(answer.text).error.code === 'budget';
      if (!isOutOfTokens || count === maxAttempts) return answer;
    }
  };
  const receivedRequests = () => Object.values(servers).flatMap((one) => one.reached);
  const saltOf = async (tenant: Tenant, more: object = {}, headers: Record<string, string> = {}) => {
    const before = new Set(receivedRequests());
    const answer = await ask('once', tenant, more, headers);
    assert.equal(answer.status, 200, answer.text);
    const mine = receivedRequests().filter((one) => !before.has(one));
    assert.equal(mine.length, 1);
    return String((JSON.parse(mine[0]!.body) as Record<string, unknown>).cache_salt);
  };
  const put = async (next: Document) => {
    const now = await bench.kit.operate('GET', '/v1/manifest');
    return bench.kit.operate('PUT', '/v1/manifest', next, { 'if-match': now.etag ?? '"0"' });
  };
  const putAndWait = async (next: Document) => {
    const answer = await put(next);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    document = next;
    await InForce.everywhere(bench.kit);
  };
  const rotated = (): Document => ({
    ...document,
    walls: { ...document.walls!, generation: document.walls!.generation + 1 },
  });
  const secretReader = { authorization: `Bearer ${FleetKit.keeperToken}` };
  const readSecret = async () => {
    const { body } = await bench.kit.operate('GET', '/v1/manifest', undefined, secretReader);
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
      servers[instance] = await bench.backEnd({ instance, group, region, handle: serve });
    await bench.list(Object.values(servers));
  });
  after(() => bench.stop());
  beforeEach(async () => {
    for (const one of Object.values(servers)) {
      one.handle = serve;
    }
    await Promise.all(Array.from({ length: 12 }, () => ask('again', 'testers')));
    for (const one of Object.values(servers)) one.reached.length = 0;
  });

  it('gives each tenant its own salt, the same at every proxy, and the teams of one owner the same salt', async () => {
    const [testers, others] = [await saltOf('testers'), await saltOf('others')];
    const [kin, open] = [await saltOf('kin'), await saltOf('open')];
    assert.match(testers, /^[\w-]{43}$/);
    assert.equal(new Set([testers, others, open]).size, 3);
    assert.equal(others, kin);
    assert.equal(await saltOf('testers', {}, { front: '1' }), testers);
    assert.equal(await saltOf('others', {}, { front: '1' }), others);
  });

  it('removes a client’s own value from every field and header that any group uses', async () => {
    const own = await saltOf('testers');
    const forged = { cache_salt: await saltOf('others'), salt_of_block: 'mine', kept: 'yes' };
    assert.equal(await saltOf('testers', forged, { 'x-wall': 'mine' }), own);
    const sent = receivedRequests().at(-1)!;
    const body = JSON.parse(sent.body) as Record<string, unknown>;
    assert.equal(body.kept, 'yes');
    assert.equal('salt_of_block' in body, false);
    assert.equal(sent.headers['x-wall'], undefined);
    const twice = `{"model":"once","cache_salt":"x","messages":[],"cache_salt":"y"}`;
    assert.equal((await bench.call(chatPath, twice)).status, 200);
    assert.deepEqual(
      receivedRequests()
        .at(-1)!
        .body.match(/"cache_salt":"[^"]*"/g),
      [`"cache_salt":"${own}"`],
    );
  });

  it('sets a header if the group uses one', async () => {
    assert.equal(
      (await ask('once', 'testers', { cache_salt: 'x' }, { 'x-to': 'marked', 'x-wall': 'forged' })).status,
      200,
    );
    const [sent] = servers.m1!.reached;
    assert.equal(sent!.headers['x-wall'], await saltOf('testers'));
    assert.equal(sent!.body.includes('cache_salt'), false);
  });

  it('keeps the salt on a retry at another server and on a fallback to another group', async () => {
    servers.a1!.handle = reset;
    assert.equal((await ask('again', 'others')).status, 200);
    const [first, second] = [servers.a1!, servers.b1!].map(
      (one) => JSON.parse(one.reached[0]!.body).cache_salt,
    );
    assert.equal(first, second);
    servers.b1!.handle = reset;
    const answer = await askWithRetryTokens('again', 'others');
    assert.equal(answer.headers['bramblebend-group'], 'small', answer.text);
    const small = [...servers.s1!.reached, ...servers.s2!.reached].map((one) => JSON.parse(one.body));
    assert.deepEqual(
      small.map((one) => [one.salt_of_block, one.cache_salt]),
      [[first, undefined]],
    );
  });

  it('resumes a stream with the generation it began with, although the walls are rotated meanwhile', async () => {
    await earnRetryTokens('lesser', 'testers');
    let cut: () => void = () => {};
    const begun = new Promise<void>((resolve) => {
      const first: Bench.Handle = (request, response) => {
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.write('id: 1\ndata: one\n\n');
        for (const one of [servers.s1!, servers.s2!]) one.handle = second;
        cut = () => request.socket.resetAndDestroy();
        resolve();
      };
      const second: Bench.Handle = (_request, response) => {
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.end('id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
      };
      for (const one of [servers.s1!, servers.s2!]) one.handle = first;
    });
    const running = ask('lesser', 'testers', {}, { 'bramblebend-timeouts': 'idle=8000' });
    await begun;
    const old = await saltOf('testers');
    await putAndWait(rotated());
    cut();
    const answer = await running;
    assert.equal(answer.text, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
    const salts = [...servers.s1!.reached, ...servers.s2!.reached].map(
      (one) => JSON.parse(one.body).salt_of_block,
    );
    assert.deepEqual(salts, [old, old]);
    assert.notEqual(await saltOf('testers'), old);
  });

  it('refuses, as not run, requests to servers without isolation, and serves the tenant that has them to itself', async () => {
    const bare = await ask('once', 'testers', {}, { 'x-to': 'bare' });
    assert.deepEqual([bare.status, bare.headers['bramblebend-ran']], [503, 'no']);
    assert.equal(JSON.parse(bare.text).error.code, 'no_wall');
    const foreign = await ask('once', 'others', {}, { 'x-to': 'alone' });
    assert.deepEqual([foreign.status, foreign.headers['bramblebend-ran']], [503, 'no']);
    assert.equal(JSON.parse(foreign.text).error.code, 'no_wall');
    assert.equal((await ask('once', 'testers', {}, { 'x-to': 'alone' })).status, 200);
    assert.equal(JSON.parse(servers.o1!.reached[0]!.body).cache_salt, undefined);
    assert.deepEqual([servers.n1!.reached.length, servers.o1!.reached.length], [0, 1]);
    const group = { ...document.groups.alone!, wall: { by: 'none', for: 'family' } };
    const given = await put({ ...document, groups: { ...document.groups, alone: group } } as Document);
    assert.equal(given.status, 422);
    assert.match(JSON.stringify(given.body), /may hold work of others/);
  });

  it('shares a salt only under a rule that says so', async () => {
    const shared = await saltOf('testers', {}, { 'x-leaflet': 'yes' });
    assert.equal(await saltOf('others', {}, { 'x-leaflet': 'yes' }), shared);
    assert.notEqual(await saltOf('testers'), shared);
  });

  it('rotates by one change, never backwards, and takes a new secret only in a new generation', async () => {
    const tenants = ['testers', 'others', 'open'] as const;
    const all = async () => [await saltOf('testers'), await saltOf('others'), await saltOf('open')];
    const olds = await all();
    const { generation } = document.walls!;
    await putAndWait(rotated());
    const news = await all();
    assert.equal(new Set([...olds, ...news]).size, 2 * tenants.length);
    const lowered = await put({ ...document, walls: { ...document.walls!, generation } });
    assert.equal(lowered.status, 422);
    assert.match(JSON.stringify(lowered.body), /must not fall below/);
    const renewed = await put({ ...document, walls: { ...document.walls!, secret: 'new' } });
    assert.equal(renewed.status, 422);
    assert.match(JSON.stringify(renewed.body), /must rise above/);
    const secret = await readSecret();
    await putAndWait({ ...rotated(), walls: { ...rotated().walls!, secret: 'new' } });
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
    await putAndWait(document);
    const last = await all();
    assert.equal(new Set([...olds, ...news, ...last]).size, 3 * tenants.length);
  });

  it('shows the secret and the salts only to those with the right, and stores them encrypted', async () => {
    const secret = await readSecret();
    assert.match(secret, /^[0-9a-f]{64}$/);
    const hidden = [secret, await saltOf('testers'), await saltOf('others')];
    const { kit } = bench;
    const outputs: [string, string][] = [];
    for (const path of ['manifest', 'status', 'audit', 'nodes', 'usage', 'servers'])
      outputs.push([path, JSON.stringify((await kit.operate('GET', `/v1/${path}`)).body)]);
    const ports = [
      ...kit.cores.map((one) => one.http),
      ...kit.fronts.flatMap((one) => [one.ops, one.agentOps]),
    ];
    for (const port of ports)
      for (const path of ['health', 'metrics', 'log'])
        outputs.push([`${port} ${path}`, await (await fetch(`http://${port}/${path}`)).text()]);
    const files = (folder: string): string[] =>
      readdirSync(folder, { withFileTypes: true }).flatMap((one) =>
        one.isDirectory() ? files(join(folder, one.name)) : [join(folder, one.name)],
      );
    for (const file of files(kit.folder)) outputs.push([file, readFileSync(file, 'latin1')]);
    for (const [where, text] of outputs)
      for (const one of hidden) assert.equal(text.includes(one), false, `${where} shows a secret`);
    assert.match(outputs[1]![1], /"generation":/);
    assert.match(outputs[2]![1], /walls of generation/);
  });

  it('keeps the secret and the salts over a restart of all nodes, and opens its state with no other key', async () => {
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
    const hasRecords = kit.cores.map(({ data }) => readFileSync(join(data, 'state.log')).length > 0);
    const started = await Promise.allSettled(kit.cores.map((core) => kit.startCore(core)));
    const refused = started.map((one) => one.status === 'rejected');
    assert.deepEqual(refused, hasRecords);
    assert.ok(
      refused.filter(Boolean).length >= 2,
      'the disks in sync are as many as may be lost, and one more',
    );
    await Promise.all(kit.cores.map((one) => one.process?.end('SIGKILL')));
    writeFileSync(keyFile, key);
    await Promise.all(kit.cores.map((core) => kit.startCore(core)));
    await Promise.all([...kit.fronts.map(kit.startAgent), ...kit.fronts.map(kit.startProxy)]);
    await InForce.everywhere(kit);
    assert.deepEqual([await saltOf('testers'), await saltOf('others')], before);
  });
});

describe('without walls', () => {
  it('forwards a body unchanged, and refuses walls without a key file', async () => {
    const bench = await Bench.start();
    try {
      const one = await bench.backEnd({ instance: 'a1', group: 'llm', region: 'a', handle: serve });
      await bench.list([one]);
      const text = '{"model":"once",  "cache_salt":"own","messages":[]}';
      assert.equal((await bench.call(chatPath, text)).status, 200);
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
