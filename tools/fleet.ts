// The fleet runner: starts all of a deployment, runs its mix, changes the manifest midway, and prints a
// report. Exit code 1 when anything that must never happen did.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import { Caller } from './caller.js';
import { Baobab } from './deployments/baobab.js';
import { Deployment } from './deployments/deployment.js';
import { Likhet } from './deployments/likhet.js';
import { FleetKit } from './fleet-kit.js';
import { InForce } from './in-force.js';
import { Journal } from './journal.js';
import { Main } from './main.js';
import { Random } from './random.js';
import { Report } from './report.js';

type Flags = {
  deployment: 'baobab' | 'likhet';
  seed: number;
  seconds: number;
  rate: number;
  affinity: string;
  walls: string;
};

const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const run = async (flags: Flags): Promise<number> => {
  const named = { baobab: Baobab, likhet: Likhet }[flags.deployment];
  if (!named) throw new Error('--deployment must be baobab or likhet');
  const chosen = flags.walls === 'off' ? Deployment.withoutWalls(named) : named;
  const manifest =
    flags.affinity === 'off'
      ? { ...chosen.manifest, rules: chosen.manifest.rules.map((rule) => ({ ...rule, affinity: false })) }
      : chosen.manifest;
  const deployment = { ...chosen, manifest };
  const folder = mkdtempSync(join(tmpdir(), `bramblebend-${flags.deployment}-`));
  const kit = await FleetKit.start({ folder, deployment });
  try {
    const began = performance.now();
    const first = await InForce.putWhenReady(kit, manifest);
    await kit.putServers(1);
    await InForce.everywhere(kit);
    const startedIn = Math.round(performance.now() - began);
    const caller = Caller.run({
      kinds: deployment.mix,
      proxies: () => kit.fronts.map((front) => front.listen),
      random: Random.of(flags.seed),
      journal: Journal.open(join(folder, 'callers.journal')),
      rate: flags.rate,
    });
    const changes: number[] = [];
    for (let change = 1; change <= 3; change += 1) {
      await pause((flags.seconds * 1000) / 4);
      const rules = [...manifest.rules, { ...manifest.rules[0]!, name: `added-${change}` }];
      const put = await kit.putManifest({ ...manifest, rules, note: `change ${change}` });
      if (put.status !== 200) throw new Error(`the change was answered ${put.status}`);
      changes.push(await InForce.everywhere(kit));
    }
    await pause((flags.seconds * 1000) / 4);
    await caller.stop();
    const report = Report.of(kit);
    const unserved = Report.read(kit).ended.filter((entry) => entry.outcome !== 'whole');
    process.stdout.write(
      `${JSON.stringify({ deployment: deployment.name, seed: flags.seed, processes: kit.fronts.length * 2 + 3 + kit.servers.length, firstRevision: first, startedIn, inForceMs: changes.map(Math.round), ...report, unserved: unserved.slice(0, 10), folder }, null, 2)}\n`,
    );
    const isClean = Object.values(report.verdicts).every(({ breaches }) => breaches.length === 0);
    return isClean && report.requests > 0 && unserved.length === 0 ? 0 : 1;
  } finally {
    await kit.stop();
  }
};

sade('fleet', true)
  .option('--deployment', 'baobab or likhet', 'baobab')
  .option('--seed', 'seed of the callers', 1)
  .option('--seconds', 'how long the callers call', 30)
  .option('--rate', 'times the deployment’s rate of requests', 1)
  .option('--affinity', 'on or off', 'on')
  .option('--walls', 'on or off', 'on')
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
