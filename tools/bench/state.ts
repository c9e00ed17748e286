// What keeping the state costs a core: node dist/tools/bench/state.js plays many changes of a manifest through a store
// as a primary does, opens it again in new processes, and prints both as one JSON object, with the figures of
// the way before beside it. `run ROUTES CHANGES` prints one measurement, `open FOLDER` one opening.
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { deflateRawSync } from 'node:zlib';
import { Stamp } from '../../src/common/stamp.js';
import type { Document } from '../../src/manifest/document.js';
import { State } from '../../src/store/state.js';
import { Store } from '../../src/store/store.js';
import { World } from '../scale/world.js';

type Figures = {
  readonly routes: number;
  readonly changes: number;
  readonly take_cpu_ms: number;
  readonly take_wall_p50_ms: number;
  readonly take_wall_p99_ms: number;
  readonly file_bytes: number;
  readonly open_cpu_ms: number;
  readonly open_peak_mb: number;
};

const self = fileURLToPath(import.meta.url);
const opens = 5;
const runs = [
  { routes: 300, changes: 1200 },
  { routes: 2000, changes: 200 },
] as const;
const aims = { routes: 300, changes: 1200, open_cpu_ms: 300, take_cpu_ms: 2 };

/** The way before, as this program measured it built into commit c468659, at a load of 41 on 16 cores. */
const before: readonly Figures[] = [
  {
    routes: 300,
    changes: 1200,
    take_cpu_ms: 25.77,
    take_wall_p50_ms: 37.14,
    take_wall_p99_ms: 328.55,
    file_bytes: 1_404_606,
    open_cpu_ms: 3298.34,
    open_peak_mb: 116.23,
  },
  {
    routes: 2000,
    changes: 200,
    take_cpu_ms: 138.46,
    take_wall_p50_ms: 167.29,
    take_wall_p99_ms: 427.18,
    file_bytes: 6_598_622,
    open_cpu_ms: 14_497.32,
    open_peak_mb: 133.77,
  },
];

const cpuMs = (since: NodeJS.CpuUsage): number => {
  const { user, system } = process.cpuUsage(since);
  return (user + system) / 1000;
};

const rounded = (value: number): number => Number(value.toFixed(2));

const at = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!;

const sorted = (values: readonly number[]): number[] => [...values].sort((a, b) => a - b);

/** Documents as operators send them, under their own numbers and with the words they were made from. */
const documentsOf = (routes: number) => {
  const world = World.of({ nodes: 60, rules: routes, servers: 20, tenants: 8, quotas: 0 });
  return (number: number): Document => {
    const text = JSON.stringify(world.manifest(number));
    const packed = deflateRawSync(text).toString('base64');
    const source = { format: 'bench', number, digest: `digest of ${number}`, packed };
    return { ...(JSON.parse(text) as Document), source };
  };
};

/** One change as a primary takes it: applied, written for its backups, and kept. */
const takeOne = async (store: Store, change: State.Change): Promise<void> => {
  const before = store.state();
  State.apply(before, change);
  Store.encode(change);
  await store.apply(change, before.stamp);
};

const fill = async (folder: string, routes: number, changes: number) => {
  const store = await Store.open(folder);
  const documentOf = documentsOf(routes);
  const spans: number[] = [];
  let cpu = 0;
  for (let number = 1; number <= changes; number += 1) {
    const document = documentOf(number);
    const answer = { key: `number ${number}`, digest: `digest of ${number}` };
    const stamp = Stamp.of(1, number);
    const what = { by: 'operator', at: new Date().toISOString(), what: `manifest ${number} put`, teams: [] };
    const [began, cpuBegan] = [performance.now(), process.cpuUsage()];
    await takeOne(store, { kind: 'manifest', stamp, document, ...what, answer });
    cpu += cpuMs(cpuBegan);
    spans.push(performance.now() - began);
  }
  const cpuBegan = process.cpuUsage();
  await store.compacted();
  cpu += cpuMs(cpuBegan);
  await store.close();
  return { spans: sorted(spans), cpu };
};

const openOnce = async (folder: string): Promise<void> => {
  const began = process.cpuUsage();
  const store = await Store.open(folder);
  const cpu = cpuMs(began);
  const { manifests } = store.state();
  await store.close();
  const peak = process.resourceUsage().maxRSS / 1024;
  process.stdout.write(`${JSON.stringify({ cpu, peak, manifests: manifests.length })}\n`);
};

const openAgain = (folder: string): { readonly cpu: number; readonly peak: number } => {
  const told = execFileSync(process.execPath, ['--max-old-space-size=160', self, 'open', folder]);
  return JSON.parse(told.toString('utf8')) as { cpu: number; peak: number };
};

const measure = async (routes: number, changes: number): Promise<Figures> => {
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-state-'));
  try {
    const { spans, cpu } = await fill(folder, routes, changes);
    const bytes = readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
    const opened = Array.from({ length: opens }, () => openAgain(folder));
    return {
      routes,
      changes,
      take_cpu_ms: rounded(cpu / changes),
      take_wall_p50_ms: rounded(at(spans, 0.5)),
      take_wall_p99_ms: rounded(at(spans, 0.99)),
      file_bytes: bytes,
      open_cpu_ms: rounded(at(sorted(opened.map((one) => one.cpu)), 0.5)),
      open_peak_mb: rounded(Math.max(...opened.map((one) => one.peak))),
    };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const [mode, first, second] = process.argv.slice(2);
if (mode === 'open') await openOnce(first!);
else if (mode === 'run')
  process.stdout.write(`${JSON.stringify(await measure(Number(first), Number(second)))}\n`);
else {
  const now: Figures[] = [];
  for (const { routes, changes } of runs) now.push(await measure(routes, changes));
  process.stdout.write(`${JSON.stringify({ aims, load: loadavg()[0], now, before })}\n`);
}
