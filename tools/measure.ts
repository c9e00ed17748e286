// Measurements on one machine: what the proxy adds to a direct call, in interleaved rounds, with the
// spread over rounds. Times are of this machine; only differences within one run mean anything.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import { Agent, request } from 'undici';
import type { Document } from '../src/manifest/document.js';
import { Deployment } from './deployments/deployment.js';
import { FleetKit } from './fleet-kit.js';
import { InForce } from './in-force.js';
import { Main } from './main.js';
import { Report } from './report.js';

type Flags = { rounds: number; requests: number; clients: string; echo: boolean };

const manifestOf = (isEchoing: boolean) =>
  ({
    zones: { 'a-1': { region: 'a' } },
    groups: {
      llm: {
        kind: 'model',
        models: ['m'],
        regions: ['a'],
        concurrent: 1000,
        ...(isEchoing ? { echo: 'bramblebend-request-id' } : {}),
      },
    },
    homes: { a: { regions: ['a'] } },
    teams: { t: { keys: [Deployment.hash('k-of-measure')], home: 'a' } },
    rules: [
      {
        name: 'm',
        match: { path: '/v1/chat/completions', models: ['m'] },
        groups: ['llm'],
        runs: 'repeatable',
      },
    ],
  }) as unknown as Document;

const body = JSON.stringify({
  model: 'm',
  stream: true,
  max_tokens: 1,
  messages: [{ role: 'user', content: 'x'.repeat(400) }],
});

const one = async (address: string, agent: Agent): Promise<number> => {
  const began = performance.now();
  const answer = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer k-of-measure', 'content-type': 'application/json' },
    body,
    dispatcher: agent,
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) throw new Error(`answered ${answer.statusCode}`);
  return performance.now() - began;
};

const round = async (address: string, agent: Agent, clients: number, requests: number) => {
  const times: number[] = [];
  const began = performance.now();
  let left = requests;
  await Promise.all(
    Array.from({ length: clients }, async () => {
      while (left > 0) {
        left -= 1;
        times.push(await one(address, agent));
      }
    }),
  );
  const perSecond = requests / ((performance.now() - began) / 1000);
  return { p50: Report.quantile(times, 0.5), p99: Report.quantile(times, 0.99), perSecond };
};

const spread = (values: readonly number[]): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return `${middle.toFixed(2)} (${sorted[0]?.toFixed(2)}–${sorted.at(-1)?.toFixed(2)})`;
};

const run = async (flags: Flags): Promise<number> => {
  const manifest = manifestOf(flags.echo);
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-measure-'));
  const kit = await FleetKit.start({
    folder,
    deployment: {
      name: 'measure',
      zones: [{ zone: 'a-1', region: 'a', fronts: 1 }],
      backEnds: [{ kind: 'model', group: 'llm', zone: 'a-1', region: 'a', count: 1, models: ['m'] }],
      manifest,
      mix: [],
    },
    stand: { pace: 0, prefill: 0, slots: 1000 },
  });
  try {
    await InForce.putWhenReady(kit, manifest);
    await kit.putServers(1);
    await InForce.everywhere(kit);
    const places = { direct: kit.servers[0]!.address, proxied: kit.fronts[0]!.listen };
    for (const clients of String(flags.clients).split(',').map(Number)) {
      const agent = new Agent({ connections: clients });
      const kept: Record<string, Awaited<ReturnType<typeof round>>[]> = { direct: [], proxied: [] };
      for (const address of Object.values(places)) await round(address, agent, clients, flags.requests);
      for (let index = 0; index < flags.rounds; index += 1)
        for (const [name, address] of Object.entries(places))
          kept[name]?.push(await round(address, agent, clients, flags.requests));
      for (const [name, rounds] of Object.entries(kept))
        process.stdout.write(
          `${clients} clients, ${name}: p50 ${spread(rounds.map((one) => one.p50))} ms, p99 ${spread(rounds.map((one) => one.p99))} ms, ${spread(rounds.map((one) => one.perSecond))} requests/s\n`,
        );
      await agent.close();
    }
    return 0;
  } finally {
    await kit.stop();
  }
};

sade('measure', true)
  .option('--rounds', 'interleaved rounds', 10)
  .option('--requests', 'requests a round', 1000)
  .option('--clients', 'clients at once, comma-separated', '1,8,32')
  .option('--echo', 'whether the servers’ group names the header that is echoed', false)
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
