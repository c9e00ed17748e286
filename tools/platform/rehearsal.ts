// Run by the build: both roles start in this process, on loopback, and serve a little, so that the code V8
// compiled for it can be kept beside the program. What goes wrong ends the build's step, not the build.
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { stringify } from 'yaml';
import { Code } from '../../platform/code.js';

export type Rehearsal = { readonly run: (folder: string) => Promise<void> };

const within = 15_000;
const net = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 256)}`;
const cores = [1, 2, 3].map((last) => `${net}.${last}`);
const front = `${net}.4`;
const ports = { control: 8166, directory: 8167, front: 8161, ready: 8168 };

const settingsOf = (ip: string, role: string, data: string): string => {
  return stringify({
    'node-name': `node-${ip}`,
    role,
    'machine-class': 'a-class',
    serves: ['edge'],
    'ip-address': ip,
    zone: 'z',
    region: 'r',
    zones: { z: 'r' },
    bindings:
      role === 'control'
        ? { 'control-plane': `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}` }
        : { front: `${ip}:${ports.front}`, readiness: `${ip}:${ports.ready}` },
    'internal-ports': [7720, 7735],
    'seed-nodes': cores.map((core) => `${core}:${ports.control}`),
    'initial-start': true,
    limits: { 'cpu-fraction': 0.5 },
    'data-directory': role === 'control' ? data : null,
    resilience: { machines: 1, zones: 0, regions: 0 },
    bounds: { 'grace-s': 8 },
  });
};

const configuration = {
  revision: 1,
  'route-table': [
    {
      name: 'a-route',
      'origin-host': 'a-host',
      'path-prefix': '/',
      'route-class': 'safe',
      'target-service': 'a-service',
      'timeout-ms': 1000,
    },
  ],
  services: [{ name: 'a-service', 'health-path': '/health' }],
};

const ask = (
  host: string,
  port: number,
  method: string,
  path: string,
  body = '',
  headers: Record<string, string> = {},
): Promise<number> =>
  new Promise((resolve, reject) => {
    const asked = request({ host, port, method, path, headers, agent: false }, (answer) => {
      answer.resume();
      answer.once('end', () => resolve(answer.statusCode ?? 0));
    });
    asked.once('error', reject);
    asked.end(body);
  });

const until = async (what: string, look: () => Promise<number>): Promise<void> => {
  const began = performance.now();
  for (;;) {
    const status = await look().catch((error: unknown) => String(error));
    if (status === 200) return;
    if (performance.now() - began > within)
      throw new Error(`the rehearsal waits in vain: ${what}: ${status}`);
    await pause(50);
  }
};

export const Rehearsal: Rehearsal = {
  async run(folder) {
    setFlagsFromString('--no-flush-bytecode');
    const code = Code.of(folder);
    const place = mkdtempSync(join(tmpdir(), 'bramblebend-rehearsal-'));
    try {
      for (const ip of [...cores, front]) {
        const role = ip === front ? 'front' : 'control';
        const file = join(place, `${ip}.yaml`);
        const data = join(place, ip);
        mkdirSync(data);
        writeFileSync(file, settingsOf(ip, role, data));
        process.env.BRAMBLEBEND_SETTINGS = file;
        process.argv[2] = role;
        code.run();
      }
      await until('a primary', () => ask(cores[0]!, ports.control, 'GET', '/ready'));
      await until('a configuration', () =>
        ask(cores[0]!, ports.control, 'POST', '/configuration/replace', JSON.stringify(configuration), {
          'base-revision': '0',
          'content-type': 'application/json',
        }),
      );
      await until('a ready front', () => ask(front, ports.ready, 'GET', '/readiness'));
      await until('a place to go', () => ask(cores[0]!, ports.directory, 'GET', '/resolution?zone=z'));
      await ask(front, ports.front, 'GET', '/a-path', '', { host: 'a-host' });
    } finally {
      rmSync(place, { recursive: true, force: true });
    }
    setFlagsFromString('--flush-bytecode');
    code.writeCache();
  },
};
