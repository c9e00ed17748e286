/**
 * While there is no primary, a remaining core polls the platform's list by itself and announces to the proxies which servers
 * should get no new requests, and nothing else: new servers are not used until there is a primary.
 */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { ListServer } from './list-server.js';
import { PlatformKit } from './platform-kit.js';

const host = 'nony24.example';
const configuration = {
  revision: 3,
  'route-table': [
    {
      name: 'r-1',
      'origin-host': host,
      'path-prefix': '/lohu930/',
      'route-class': 'safe',
      'timeout-ms': 5000,
      priority: 0,
      'target-service': 'huvo11a',
      'max-attempts': 1,
    },
  ],
  services: [{ name: 'huvo11a', 'health-path': '/health', 'max-connections': 360 }],
  limits: {},
};

describe('the server list without a primary', () => {
  let kit: PlatformKit;
  const servers: Server[] = [];
  let serial = 0;

  const serverOf = async (instance: string): Promise<string> => {
    const server = createServer((incoming, response) => {
      const isAddressed = incoming.headers['target-instance'] === instance;
      response.writeHead(isAddressed ? 200 : 421, { 'attempt-id': incoming.headers['attempt-id'] ?? '' });
      response.end(instance);
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };
  const callAt = async (front: PlatformKit.Front): Promise<string> => {
    serial += 1;
    const answer = await request(`http://${front.listen}/lohu930/x`, {
      headers: { host, 'attempt-id': `a-${serial}`, 'remaining-time': '3000' },
    });
    const text = await answer.body.text();
    return answer.statusCode === 200 ? text : String(answer.statusCode);
  };
  const distinctAnswers = async (count: number): Promise<readonly string[]> => {
    const all: string[] = [];
    for (let done = 0; done < count; done += 1)
      all.push(...(await Promise.all(kit.fronts.map((front) => callAt(front).catch(() => 'none')))));
    return [...new Set(all)].sort();
  };
  const waitForAnswers = (wanted: readonly string[]) =>
    PlatformKit.waitUntil(
      async () => ((await distinctAnswers(15)).join() === wanted.join() ? true : undefined),
      `answers by ${wanted.join()}`,
    );
  const available = new Map<string, string>();
  const listed = (instance: string, more: object = {}) =>
    ListServer.instance(instance, 'sto-a', { address: available.get(instance), ...more });

  before(async () => {
    kit = await PlatformKit.start({ fronts: ['sto-a', 'got-a'] });
    for (const instance of ['i-1', 'i-2', 'i-3']) available.set(instance, await serverOf(instance));
    kit.list.instances = [listed('i-1'), listed('i-2')];
    const put = await kit.sendCommand('/configuration/replace', JSON.stringify(configuration), {
      'base-revision': '0',
    });
    assert.equal(put.status, 200);
    await waitForAnswers(['i-1', 'i-2']);
  });
  after(async () => {
    await kit.stop();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
  });

  it('is polled by a single core, and a leaving server gets no more requests', {
    timeout: 40_000,
  }, async () => {
    const primary = await kit.findPrimary();
    const [other, remaining] = kit.cores.filter((core) => core !== primary);
    await Promise.all([primary, other!].map((core) => core.process?.end('SIGKILL')));
    kit.list.instances = [listed('i-1', { state: 'draining' }), listed('i-2')];
    await waitForAnswers(['i-2']);
    const health = await kit.call(remaining!, 'GET', '/health');
    assert.equal(health.body.state, 'following');
  });

  it('is polled no more often than the share of one core among three', { timeout: 40_000 }, async () => {
    await kit.list.polls(1);
    const began = performance.now();
    await kit.list.polls(2);
    assert.ok(performance.now() - began > 2 * 3 * 700 * 0.95);
  });

  it('removes a server that is gone, and adds none that is new', { timeout: 40_000 }, async () => {
    kit.list.instances = [listed('i-3')];
    await waitForAnswers(['503']);
    await kit.list.polls(2);
    assert.deepEqual(await distinctAnswers(15), ['503']);
  });

  it('takes effect again once there is a primary', { timeout: 40_000 }, async () => {
    kit.list.instances = [listed('i-1'), listed('i-3')];
    await Promise.all(
      kit.cores.filter((core) => core.process?.isUp() !== true).map((core) => kit.startCore(core)),
    );
    await waitForAnswers(['i-1', 'i-3']);
  });
});
