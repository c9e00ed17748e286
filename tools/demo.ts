// A small installation on one machine to look at: three control nodes, two front machines and two
// stand-in model servers. It runs until it is interrupted.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Document } from '../src/manifest/document.js';
import { Deployment } from './deployments/deployment.js';
import { FleetKit } from './fleet-kit.js';
import { InForce } from './in-force.js';

const manifest = {
  zones: { 'here-1': { region: 'here' }, 'there-1': { region: 'there' } },
  groups: {
    demo: {
      kind: 'model',
      models: ['demo'],
      regions: ['here', 'there'],
      identity: { path: '/v1/models' },
      wall: { by: 'field', name: 'cache_salt' },
    },
  },
  homes: { anywhere: { regions: ['here', 'there'] } },
  teams: {
    demo: { keys: [Deployment.hash('demo-key')], home: 'anywhere' },
    other: { keys: [Deployment.hash('other-key')], home: 'anywhere' },
  },
  walls: { generation: 1 },
  rules: [
    {
      name: 'chat',
      match: { path: '/v1/chat/completions', method: 'POST', models: ['demo'] },
      groups: ['demo'],
      runs: 'repeatable',
      spill: ['there'],
    },
  ],
} as unknown as Document;

const backEnd = { kind: 'model', group: 'demo', count: 1, models: ['demo'] } as const;
const kit = await FleetKit.start({
  folder: mkdtempSync(join(tmpdir(), 'bramblebend-demo-')),
  deployment: {
    name: 'demo',
    zones: [
      { zone: 'here-1', region: 'here', fronts: 1 },
      { zone: 'there-1', region: 'there', fronts: 1 },
    ],
    backEnds: [
      { ...backEnd, zone: 'here-1', region: 'here' },
      { ...backEnd, zone: 'there-1', region: 'there' },
    ],
    manifest,
    mix: [],
  },
  stand: { pace: 60 },
});
await InForce.putWhenReady(kit, manifest);
await kit.putServers(1);
await InForce.everywhere(kit);
process.stdout.write(`the demo is up, in ${kit.folder}

callers:    http://${kit.fronts[0]!.listen} and http://${kit.fronts[1]!.listen}, keys demo-key and other-key, model demo
operators:  export BRAMBLEBEND_CONTROL=${kit.cores.map((core) => core.http).join(',')}
            export BRAMBLEBEND_TOKEN=${FleetKit.operatorToken}
            node dist/src/bin/bramblebend.js status
            node dist/src/bin/bramblebend.js walls --keys demo-key,other-key --model demo
end it with Ctrl-C
`);
process.once('SIGINT', () => void kit.stop().then(() => process.exit(0)));
process.once('SIGTERM', () => void kit.stop().then(() => process.exit(0)));
