// One scale run: starts real cores and two real machines, then the hollow ones, measures each role at rest and
// over each event, and ends them all.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Stamp } from '../../src/kinds/stamp.js';
import { Counts } from './counts.js';
import { Crowd } from './crowd.js';
import { Stage } from './stage.js';
import { World } from './world.js';

export type Run = { readonly report: Run.Report };

export declare namespace Run {
  type Size = World.Size & {
    readonly requests: number;
    readonly seconds: number;
    readonly changes: number;
    readonly hosts: number;
    readonly events: readonly string[];
  };
  type Sum = { readonly frames: number; readonly bytes: number; readonly processor: number };
  type Event = {
    readonly name: string;
    readonly last: number | undefined;
    readonly seconds: number;
    readonly extra: Readonly<Record<string, Run.Sum>>;
    readonly kinds: Readonly<Record<string, Counts.Rate['kinds']>>;
    readonly why?: string;
  };
  type Report = {
    readonly size: Run.Size;
    readonly startedIn: number;
    readonly members: number;
    readonly depths: Readonly<Record<string, number>>;
    readonly oldest: number;
    readonly bytes: { readonly manifest: number; readonly servers: number };
    readonly rest: Readonly<Record<string, Counts.Rate>>;
    readonly events: readonly Run.Event[];
  };
}

const settleFor = 2500;
const quietFor = 5000;
const settleWithin = 60_000;
const relay = 'zone-0000-a';
const leaf = 'zone-0000-z';
const reals = 2;
const restartShare = 450 / 610;

export const Run = {
  kinds: ['manifest', 'servers', 'relay', 'zone', 'restart', 'core'] as readonly string[],
  async of(size: Run.Size): Promise<Run.Report> {
    const folder = mkdtempSync(join(tmpdir(), 'bramblebend-scale-'));
    const world = World.of(size);
    const stage = Stage.of(folder);
    const crowd = Crowd.of(size.hosts, {
      seeds: stage.seeds,
      requests: size.requests,
      host: stage.host,
    });
    try {
      return await measure(size, world, stage, crowd);
    } finally {
      crowd.end();
      await stage.end();
      rmSync(folder, { recursive: true, force: true });
    }
  },
};

// At rest is when the tree has settled: no roster came down for a while, since no node moved.
const settle = async (stage: Stage): Promise<void> => {
  const began = Counts.now();
  const rosters = () => stage.sample(leaf)?.got.roster?.frames;
  for (let quiet = 0, seen = rosters(); quiet < quietFor && Counts.now() - began < settleWithin; ) {
    await Stage.pause(settleFor);
    quiet = rosters() === seen ? quiet + settleFor : 0;
    seen = rosters();
  }
};

const measure = async (size: Run.Size, world: World, stage: Stage, crowd: Crowd): Promise<Run.Report> => {
  let change = 0;
  const took: Record<'manifest' | 'servers', number> = { manifest: 0, servers: 0 };
  const put = async (what: 'manifest' | 'servers'): Promise<{ stamp: Stamp; at: number }> => {
    change += 1;
    const body = what === 'manifest' ? world.manifest(change) : world.servers(change);
    took[what] = JSON.stringify(body).length;
    for (;;) {
      const now = await stage.operate('GET', '/v1/manifest').catch(() => undefined);
      const headers = what === 'manifest' ? { 'if-match': now?.etag ?? '"0"' } : undefined;
      const response = await stage.operate('PUT', `/v1/${what}`, body, headers).catch(() => undefined);
      const at = Counts.now();
      if (response?.status === 422) throw new Error(JSON.stringify(response.body).slice(0, 2000));
      if (response?.status === 200) {
        const status = await stage.operate('GET', '/v1/status');
        return { stamp: status.body.stamp as Stamp, at };
      }
      await Stage.pause(50);
    }
  };
  const hearAll = (since: number) => crowd.hear(since, crowd.machines().length + reals);

  type Samples = Readonly<Record<string, Counts.Sample>>;
  const samples = async (): Promise<Samples> => {
    const real = [...stage.processes().keys()].flatMap((name) => {
      const sample = stage.sample(name);
      return sample ? [[name, sample] as const] : [];
    });
    const hosts = (await crowd.sample()).map(({ sample }, index) => [`host${index + 1}`, sample] as const);
    return Object.fromEntries([...real, ...hosts]);
  };
  const rolesNow = async (): Promise<Readonly<Record<string, string>>> => {
    const primary = await stage.primary();
    const others = ['core-1', 'core-2', 'core-3'].filter((name) => name !== primary);
    return {
      [primary]: 'primary',
      [others[0]!]: 'core',
      [others[1]!]: 'core2',
      [`${relay}-agent`]: 'relay',
      [`${leaf}-agent`]: 'leaf',
      [leaf]: 'proxy',
    };
  };
  const between = (before: Samples, after: Samples, names: Readonly<Record<string, string>>) =>
    Object.fromEntries(
      Object.entries(after).flatMap(([name, sample]) => {
        const earlier = before[name];
        const isSameRun = earlier && earlier.processor <= sample.processor;
        return isSameRun ? [[names[name] ?? name, Counts.between(earlier, sample)] as const] : [];
      }),
    );

  const began = Counts.now();
  await Promise.all([0, 1, 2].map(stage.startCore));
  await put('manifest');
  await stage.startMachine(relay, world.zones[0]!);
  await stage.startMachine(leaf, world.zones[0]!);
  await crowd.start(
    Array.from({ length: size.nodes - reals }, (_none, index) => {
      const zone = world.zones[index % world.zones.length]!;
      return { node: `${zone}-m-${String(index).padStart(4, '0')}`, zone };
    }),
  );
  const first = await put('servers');
  await Promise.all([crowd.reach(first.stamp), stage.reach(first.stamp)]);
  await hearAll(0);
  const startedIn = Counts.now() - began;
  await settle(stage);

  const start = await samples();
  await Stage.pause(size.seconds * 1000);
  const rest = between(start, await samples(), await rolesNow());
  const nodes = (await stage.operate('GET', '/v1/nodes')).body.nodes as readonly unknown[];
  const depths = await crowd.depths();
  const oldest = Math.max(...(await crowd.sample()).map((one) => one.oldest));

  const events: Run.Event[] = [];
  const during = async (name: string, work: () => Promise<number>) => {
    const before = await samples();
    let last: number | undefined;
    let why: string | undefined;
    try {
      last = await work();
    } catch (error) {
      why = String(error);
    }
    await Stage.pause(settleFor);
    const spent = between(before, await samples(), await rolesNow());
    const extra = Object.fromEntries(
      Object.entries(spent).map(([role, rate]) => {
        const calm = rest[role];
        const share = calm ? rate.seconds / calm.seconds : 0;
        const less = (spentIt: number, atRest = 0) => spentIt - atRest * share;
        const frames = rate.sent.frames + rate.got.frames;
        const bytes = rate.sent.bytes + rate.got.bytes;
        return [
          role,
          {
            frames: less(frames, calm && calm.sent.frames + calm.got.frames),
            bytes: less(bytes, calm && calm.sent.bytes + calm.got.bytes),
            processor: less(rate.processor, calm?.processor),
          },
        ];
      }),
    );
    const kinds = Object.fromEntries(Object.entries(spent).map(([role, rate]) => [role, rate.kinds]));
    const seconds = spent.primary?.seconds ?? 0;
    events.push({ name, last, seconds, extra, kinds, ...(why === undefined ? {} : { why }) });
  };
  const does = (name: string) => size.events.includes(name);

  for (const what of ['manifest', 'servers'] as const)
    for (let round = 0; does(what) && round < size.changes; round += 1)
      await during(`change of ${what}`, async () => {
        const { stamp, at } = await put(what);
        return Math.max(...(await Promise.all([crowd.reach(stamp), stage.reach(stamp)]))) - at;
      });
  if (does('relay'))
    await during('relay frozen', async () => {
      const since = Counts.now();
      stage.processes().get(`${relay}-agent`)?.signal('SIGSTOP');
      try {
        return (await crowd.hear(since, 0)) - since;
      } finally {
        stage.processes().get(`${relay}-agent`)?.signal('SIGCONT');
      }
    });
  if (does('zone') && world.zones.length > 1) {
    const lost = crowd.machines().filter((one) => one.zone === world.zones.at(-1));
    await during(`zone of ${lost.length} lost`, async () => {
      const since = Counts.now();
      await crowd.stop(lost);
      return (await hearAll(since)) - since;
    });
    await during(`zone of ${lost.length} back`, async () => {
      const since = Counts.now();
      await crowd.start(lost);
      return (await hearAll(since)) - since;
    });
  }
  if (does('restart')) {
    const all = crowd.machines();
    const some = all.filter((_one, index) => index < all.length * restartShare);
    await during(`restart of ${some.length}`, async () => {
      const since = Counts.now();
      await crowd.stop(some);
      await crowd.start(some);
      return (await hearAll(since)) - since;
    });
  }
  if (does('core')) {
    const primary = await stage.primary();
    await during('primary lost', async () => {
      const since = Counts.now();
      await stage.processes().get(primary)?.end('SIGKILL');
      return (await crowd.hear(since, 0)) - since;
    });
    await during('core back', async () => {
      const since = Counts.now();
      await stage.startCore(Number(primary.slice(-1)) - 1);
      return (await hearAll(since)) - since;
    });
  }
  return {
    size,
    startedIn,
    members: nodes.length,
    depths,
    oldest,
    bytes: took,
    rest,
    events,
  };
};
