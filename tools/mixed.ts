// A roll-out: a fleet of which half runs an earlier commit of the project, then all of it, under its mix of
// requests. Every program is replaced one machine at a time, cores first, and after each step a change must be
// in force everywhere. Exit code 1 when a checker found a breach or a change took too long.
import { execFileSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
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

type Flags = { deployment: 'baobab' | 'likhet'; seed: number; commit: string };

const inForceWithin = 3000;
const root = fileURLToPath(new URL('../../', import.meta.url));
const here = new URL('../', import.meta.url);

const buildEarlier = (commit: string, folder: string): URL => {
  const place = join(folder, 'earlier');
  const run = (command: string, args: readonly string[], cwd: string) =>
    execFileSync(command, args, { cwd, stdio: ['ignore', 'ignore', 'inherit'] });
  run('git', ['worktree', 'add', '--detach', place, commit], root);
  const lockIn = (where: string) => readFileSync(join(where, 'package-lock.json'), 'utf8');
  const isSame = lockIn(root) === lockIn(place);
  if (isSame && existsSync(join(root, 'node_modules')))
    symlinkSync(join(root, 'node_modules'), join(place, 'node_modules'));
  else run('npm', ['ci', '--no-audit', '--no-fund'], place);
  run('npm', ['run', 'build'], place);
  return pathToFileURL(`${join(place, 'dist')}/`);
};

const untilPair = async (kit: FleetKit): Promise<void> => {
  const began = performance.now();
  for (;;) {
    const status = await kit.operate('GET', '/v1/status').catch(() => undefined);
    const tenure = status?.body.tenure as { inSync: string[] } | undefined;
    if (status?.status === 200 && (tenure?.inSync.length ?? 0) > 1) return;
    if (performance.now() - began > 20_000) throw new Error('the cores did not get in sync again');
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
};

const run = async (flags: Flags): Promise<number> => {
  const deployment = Deployment.withoutWalls({ baobab: Baobab, likhet: Likhet }[flags.deployment]);
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-mixed-'));
  const earlier = buildEarlier(flags.commit, folder);
  const isNew = new Set<string>();
  const halfNew = deployment.zones.map(({ zone }) => `${zone}-front-1`);
  for (const front of halfNew) for (const name of [front, `${front}-agent`]) isNew.add(name);
  isNew.add('core-3');
  const kit = await FleetKit.start({
    folder,
    deployment,
    builtIn: (name) => (isNew.has(name) ? here : earlier),
  });
  const steps: Record<string, number> = {};
  try {
    await InForce.putWhenReady(kit, deployment.manifest);
    await kit.putServers(1);
    await InForce.everywhere(kit);
    const callers = Caller.run({
      kinds: deployment.mix,
      proxies: () => kit.fronts.filter((front) => front.proxy?.isUp()).map((front) => front.listen),
      random: Random.of(Number(flags.seed)),
      journal: Journal.open(join(folder, 'callers.journal')),
    });
    const change = async (step: string) => {
      await InForce.putWhenReady(kit, { ...deployment.manifest, note: step });
      steps[step] = Math.round(await InForce.everywhere(kit));
    };
    await change('half and half');
    for (const core of kit.cores.filter(({ node }) => !isNew.has(node))) {
      await core.process?.end('SIGTERM');
      isNew.add(core.node);
      await kit.startCore(core);
      await untilPair(kit);
      await change(core.node);
    }
    for (const front of kit.fronts.filter(({ node }) => !isNew.has(node))) {
      await front.proxy?.end('SIGTERM');
      await front.agent?.end('SIGTERM');
      for (const name of [front.node, `${front.node}-agent`]) isNew.add(name);
      await Promise.all([kit.startAgent(front), kit.startProxy(front)]);
      await change(front.node);
    }
    await callers.stop();
    const report = Report.of(kit);
    const late = Object.entries(steps).filter(([, span]) => span > inForceWithin);
    process.stdout.write(`${JSON.stringify({ commit: flags.commit, steps, late, ...report }, null, 2)}\n`);
    const isClean = Object.values(report.verdicts).every(({ breaches }) => breaches.length === 0);
    return isClean && late.length === 0 ? 0 : 1;
  } finally {
    await kit.stop();
    execFileSync('git', ['worktree', 'remove', '--force', join(folder, 'earlier')], { cwd: root });
    rmSync(folder, { recursive: true, force: true });
  }
};

sade('mixed', true)
  .option('--deployment', 'baobab or likhet', 'baobab')
  .option('--seed', 'seed of the callers', 1)
  .option('--commit', 'the earlier commit', 'HEAD~1')
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
