// Who acts during a campaign besides the callers: two operators that race, a reader, the platform that
// replaces servers and says which leave, and a monitor of what each proxy holds.
import type { Document } from '../../src/manifest/document.js';
import { FleetKit } from '../fleet-kit.js';
import { Journal } from '../journal.js';
import type { Random } from '../random.js';
import { World } from './world.js';

export type Actors = { readonly run: (world: World) => Promise<void> };

const headers = { authorization: `Bearer ${FleetKit.operatorToken}` };
const platformHeaders = { authorization: `Bearer ${FleetKit.platformToken}` };

const rotating = 0.15;

let notes = 0;

const call = (
  address: string,
  method: string,
  path: string,
  body?: unknown,
  more: Record<string, string> = {},
) => FleetKit.call(address, method, path, body, { ...headers, ...more }).catch(() => undefined);

const operate = async (world: World, random: Random, name: string) => {
  while (!world.stop.aborted) {
    await World.pause(300 + random.below(900), world.stop);
    const place = random.pick(world.kit.cores).http;
    const read = await call(place, 'GET', '/v1/manifest');
    if (read?.status !== 200) continue;
    notes += 1;
    const note = `n:${notes}`;
    const isInvalid = random.next() < 0.1;
    const held = (read.body.walls as Document['walls'])?.generation ?? 1;
    const generation = random.next() < rotating ? held + 1 : held;
    const { manifest, zones } = world.kit.deployment;
    if (random.next() < 0.1)
      world.list.evacuated = world.list.evacuated.length > 0 ? [] : [random.pick(zones).zone];
    const evacuations = [...world.list.evacuated];
    const extra = Array.from({ length: random.below(30) }, (_none, index) => ({
      ...manifest.rules[0]!,
      name: `added-${index}`,
    }));
    const rules = isInvalid
      ? [...manifest.rules, { ...manifest.rules[0]!, name: 'bad', groups: ['ghost'] }]
      : [...manifest.rules, ...extra];
    const at = Journal.now();
    world.operators.write({
      event: 'put',
      note,
      by: name,
      ifMatch: read.etag,
      isInvalid,
      evacuations,
      generation,
    });
    const put = await call(
      place,
      'PUT',
      '/v1/manifest',
      { ...manifest, rules, evacuations, note, walls: { ...manifest.walls, generation } },
      {
        'if-match': read.etag ?? '"0"',
      },
    );
    if (put?.status === 200) for (const see of [...world.acks]) see(put.by ?? '');
    world.operators.write({
      event: 'answer',
      note,
      begun: at,
      status: put?.status ?? 0,
      revision: put?.status === 200 ? put.body.revision : undefined,
      taken: (put?.body.error as { taken?: string } | undefined)?.taken,
      ifMatch: read.etag,
      isInvalid,
      evacuations,
      generation,
    });
  }
};

const read = async (world: World, random: Random) => {
  while (!world.stop.aborted) {
    await World.pause(120, world.stop);
    const begun = Journal.now();
    const answer = await call(random.pick(world.kit.cores).http, 'GET', '/v1/manifest');
    if (answer?.status === 200)
      world.operators.write({
        event: 'read',
        begun,
        revision: Number(answer.etag?.replaceAll('"', '')),
        note: answer.body.note,
        generation: (answer.body.walls as Document['walls'])?.generation,
        rules: (answer.body.rules as { name: string }[]).some((rule) => rule.name === 'bad'),
      });
  }
};

const putServers = async (world: World): Promise<boolean> => {
  world.list.serial += 1;
  const servers = world.kit.servers.map(({ instance, backEnd, address }) => ({
    instance,
    group: backEnd.group,
    address,
    region: backEnd.region,
    zone: backEnd.zone,
  }));
  const put = await call(
    world.random.pick(world.kit.cores).http,
    'PUT',
    '/v1/servers',
    { serial: world.list.serial, servers },
    platformHeaders,
  );
  return put?.status === 200;
};

const replace = async (world: World, random: Random, old: FleetKit.Server, notice = 6500) => {
  if (world.busy.has(old)) return;
  world.busy.add(old);
  const leave = await call(
    random.pick(world.kit.cores).http,
    'POST',
    '/v1/leaving',
    { instance: old.instance },
    platformHeaders,
  );
  if (leave?.status !== 200) return void world.busy.delete(old);
  world.operators.write({ event: 'leaving', instance: old.instance });
  await World.pause(notice, world.stop);
  if (world.stop.aborted || !world.kit.servers.includes(old)) return;
  const [base, round = '0'] = old.instance.split('.r');
  const fresh: FleetKit.Server = {
    ...old,
    instance: `${base}.r${Number(round) + 1}`,
    journal: `${world.kit.folder}/${base}.r${Number(round) + 1}.journal`,
    cold: 2000,
  };
  await old.process?.end('SIGKILL');
  const isReused = random.next() < 0.5;
  if (isReused) {
    const stranger: FleetKit.Server = {
      ...old,
      instance: `stranger-${base}`,
      service: 'a-service-of-somebody',
      journal: `${world.kit.folder}/stranger-${base}.journal`,
    };
    await world.kit.startServer(stranger);
    await World.pause(1500, world.stop);
    await stranger.process?.end('SIGKILL');
  }
  await world.kit.startServer(fresh);
  world.kit.servers.splice(world.kit.servers.indexOf(old), 1, fresh);
  for (let tries = 0; tries < 20 && !(await putServers(world)); tries += 1) await World.pause(500);
};

const look = async (world: World) => {
  while (!world.stop.aborted) {
    await Promise.all(
      world.kit.fronts.map(async (front) => {
        try {
          const answer = await fetch(`http://${front.ops}/health`, { signal: AbortSignal.timeout(400) });
          const { stamp, boot } = (await answer.json()) as { stamp: object; boot: string };
          world.monitor.write({ node: front.node, boot, ...stamp });
        } catch {
          return;
        }
      }),
    );
    await World.pause(100, world.stop);
  }
};

export const Actors = {
  putServers,
  replace,
  look,
  async run(world: World, seed: (salt: number) => Random): Promise<void> {
    const platform = async () => {
      const random = seed(4);
      while (!world.stop.aborted) {
        await World.pause(2000 + random.below(3000), world.stop);
        if (!world.stop.aborted) await replace(world, random, random.pick(world.kit.servers));
      }
    };
    await Promise.all([
      operate(world, seed(1), 'left'),
      operate(world, seed(2), 'right'),
      read(world, seed(3)),
      platform(),
      look(world),
    ]);
  },
};
