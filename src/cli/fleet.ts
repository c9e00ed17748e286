// What an operator sees of the fleet, as tables or as JSON: where callers go, what is evacuated, the servers with
// their loads and who feeds them gently, the tokens for extra tries, and the tree that news goes down. What only a
// program itself knows is asked at its operations port; one that does not answer is shown so.
import { request } from 'undici';
import type { Client } from './client.js';
import type { Commands } from './commands.js';
import { Table } from './table.js';

export type Fleet = { readonly isJson: boolean };

type Node = {
  readonly node: string;
  readonly program: string;
  readonly zone: string;
  readonly ops: string;
  readonly via: string;
  readonly ready: boolean;
};
type Health = {
  readonly tokens?: number;
  readonly parent?: string;
  readonly depth?: number;
  readonly cold?: readonly string[];
  readonly out?: readonly string[];
  readonly dark?: readonly string[];
  readonly leaving?: readonly string[];
};
type Zone = { readonly zone: string; readonly region: string; readonly evacuated: boolean };
type Server = {
  readonly instance: string;
  readonly group: string;
  readonly address: string;
  readonly zone: string;
  readonly slots?: number;
  readonly isLeaving?: boolean;
};
type Load = {
  readonly instance: string;
  readonly queued: number;
  readonly active: number;
  readonly bound: number;
};
type Proxy = { readonly node: string; readonly address: string; readonly zone: string };

const within = 1000;
const none = '-';

const fail = (response: Client.Response): Commands => ({
  text: JSON.stringify(response.body, null, 2),
  code: response.status === 503 ? 3 : 1,
});

const give = (value: unknown, rows: Table, { isJson }: Fleet, notes: readonly string[] = []): Commands => ({
  text: isJson ? JSON.stringify(value, null, 2) : Table.text(rows),
  ...(notes.length > 0 ? { notes: notes.join('\n') } : {}),
  code: 0,
});

const readHealth = async (ops: string): Promise<Health | undefined> => {
  try {
    const response = await request(`http://${ops}/health`, { headersTimeout: within, bodyTimeout: within });
    return (await response.body.json()) as Health;
  } catch {
    return undefined;
  }
};

const askEach = (nodes: readonly Node[]) =>
  Promise.all(nodes.map(async (node) => ({ ...node, health: await readHealth(node.ops) })));

const silentAmong = (nodes: readonly { node: string; health: Health | undefined }[]): string[] => {
  const silent = nodes.filter(({ health }) => !health).map(({ node }) => node);
  return silent.length === 0
    ? []
    : [`no answer at the operations port of ${silent.join(', ')}: ask from where it can be reached`];
};

const zoneOrder = (a: { zone: string; node: string }, b: { zone: string; node: string }) =>
  a.zone.localeCompare(b.zone) || a.node.localeCompare(b.node);

/** All of the calls answered, or the first that did not. */
const readAll = async (client: Client, paths: readonly string[]) => {
  const responses = await Promise.all(paths.map((path) => client.call('GET', path)));
  const bad = responses.find((one) => one.status !== 200);
  return bad ? { bad } : { bodies: responses.map((one) => one.body) };
};

export const Fleet = {
  async directory(client: Client, zone: string | undefined, terms: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/evacuations']);
    if (!read.bodies) return fail(read.bad);
    const { zones } = read.bodies[0] as { zones: readonly Zone[] };
    const known = zones.map((one) => one.zone);
    if (zone !== undefined && !known.includes(zone))
      return { text: `the manifest names no zone ${zone}; it names ${known.join(', ')}`, code: 1 };
    const told = await Promise.all(
      (zone === undefined ? known : [zone]).map(async (from) => {
        const response = await client.call('GET', `/v1/directory?zone=${encodeURIComponent(from)}`);
        const { proxies = [] } = response.body as { proxies?: readonly Proxy[] };
        return { zone: from, proxies };
      }),
    );
    const rows = told.flatMap(({ zone: from, proxies }) =>
      proxies.length === 0
        ? [[from, none, none, 'no ready proxy is known just now']]
        : proxies.map((one) => [from, one.node, one.zone, one.address]),
    );
    const isSome = told.some(({ proxies }) => proxies.length > 0);
    const given = give({ zones: told }, [['FROM', 'PROXY', 'ZONE', 'ADDRESS'], ...rows], terms);
    return isSome ? given : { ...given, code: 3 };
  },
  async evacuations(client: Client, terms: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/evacuations']);
    if (!read.bodies) return fail(read.bad);
    const { zones } = read.bodies[0] as { zones: readonly Zone[] };
    const rows = zones.map((one) => [one.zone, one.region, one.evacuated ? 'evacuated' : 'open']);
    return give({ zones }, [['ZONE', 'REGION', 'STATE'], ...rows], terms);
  },
  /** An order of its own: it changes that and nothing else, and may be repeated safely. */
  async evacuate(client: Client, zone: string, verb: 'begin' | 'finish', terms: Fleet): Promise<Commands> {
    const path = `/v1/evacuations/${encodeURIComponent(zone)}/${verb}`;
    const response = await client.call('POST', path, {});
    if (response.status !== 200) {
      const { error } = response.body as { error?: { message?: string } };
      const next = response.status === 503 ? 'not confirmed: repeat the same order, it is safe' : undefined;
      const notes = [error?.message, next].filter((one) => one !== undefined);
      return { ...fail(response), notes: notes.join('; ') };
    }
    const { evacuations } = response.body as { evacuations: readonly string[] };
    const done = `evacuated now: ${evacuations.length > 0 ? evacuations.join(', ') : 'no zone'}`;
    return terms.isJson
      ? { text: JSON.stringify({ evacuations }, null, 2), code: 0 }
      : { text: done, code: 0 };
  },
  async servers(client: Client, group: string | undefined, terms: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/servers', '/v1/evacuations', '/v1/loads', '/v1/nodes']);
    if (!read.bodies) return fail(read.bad);
    const [platform, evacuations, reported, members] = read.bodies as [
      { servers: readonly Server[]; leaving: readonly string[] },
      { zones: readonly Zone[] },
      { loads: readonly Load[] },
      { nodes: readonly Node[] },
    ];
    const groups = [...new Set(platform.servers.map((one) => one.group))].sort();
    if (group !== undefined && !groups.includes(group))
      return { text: `the list has no server of ${group}; it has ${groups.join(', ')}`, code: 1 };
    const evacuated = new Set(evacuations.zones.filter((one) => one.evacuated).map((one) => one.zone));
    const proxies = await askEach(members.nodes.filter((one) => one.program === 'proxy'));
    const at = (kind: 'cold' | 'out' | 'dark' | 'leaving', instance: string) =>
      proxies.filter(({ health }) => health?.[kind]?.includes(instance)).map(({ node }) => node);
    const servers = platform.servers
      .filter((one) => group === undefined || one.group === group)
      .map((one) => ({
        ...one,
        state:
          one.isLeaving || platform.leaving.includes(one.instance)
            ? 'leaving'
            : evacuated.has(one.zone)
              ? 'evacuated'
              : 'open',
        load: reported.loads.find((load) => load.instance === one.instance),
        cold: at('cold', one.instance),
        out: [...at('out', one.instance), ...at('leaving', one.instance)],
        dark: at('dark', one.instance),
      }))
      .sort((a, b) => a.group.localeCompare(b.group) || a.instance.localeCompare(b.instance));
    const count = (list: readonly string[]) =>
      list.length === 0 ? none : `${list.length}/${proxies.length}`;
    const rows = servers.map((one) => [
      ...[one.group, one.instance, one.zone, one.address, one.state],
      ...(one.load ? [one.load.queued, one.load.active].map(String) : [none, none]),
      one.slots === undefined ? none : String(one.slots),
      one.load ? `${Math.round(one.load.bound * 100)} %` : none,
      ...[count(one.cold), count(one.out), count(one.dark)],
    ]);
    const head = ['GROUP', 'INSTANCE', 'ZONE', 'ADDRESS', 'STATE', 'QUEUED', 'ACTIVE', 'SLOTS', 'MEMORY'];
    const value = { proxies: proxies.length, servers };
    return give(value, [[...head, 'COLD AT', 'OUT AT', 'DARK AT'], ...rows], terms, silentAmong(proxies));
  },
  async budget(client: Client, terms: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/budget', '/v1/nodes']);
    if (!read.bodies) return fail(read.bad);
    const [{ holder, pooled }, { nodes }] = read.bodies as [
      { holder?: string; pooled: number },
      { nodes: readonly Node[] },
    ];
    const proxies = (await askEach(nodes.filter((one) => one.program === 'proxy'))).sort(zoneOrder);
    const held = proxies.map(({ node, zone, health }) => ({ node, zone, tokens: health?.tokens ?? null }));
    const rows = held.map((one) => [
      one.zone,
      one.node,
      one.tokens === null ? 'no answer' : one.tokens.toFixed(1),
    ]);
    return give(
      { holder: holder ?? null, pooled, proxies: held },
      [['ZONE', 'HELD BY', 'TOKENS'], ['pool', holder ?? 'no holder', pooled.toFixed(1)], ...rows],
      terms,
      silentAmong(proxies),
    );
  },
  async tree(client: Client, terms: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/nodes']);
    if (!read.bodies) return fail(read.bad);
    const { nodes } = read.bodies[0] as { nodes: readonly Node[] };
    const cores = nodes.filter((one) => one.program === 'control').sort(zoneOrder);
    const asked = (await askEach(nodes.filter((one) => one.program !== 'control'))).sort(zoneOrder);
    const below = asked.map(({ node, program, zone, ready, via, health }) => ({
      ...{ node, program, zone, ready },
      parent: health?.parent || via,
      isAnswering: health !== undefined,
    }));
    const names = new Set(nodes.map((one) => one.node));
    const rowsUnder = (parent: string, depth: number): string[][] =>
      below
        .filter((one) => one.parent === parent && depth < 16)
        .flatMap((one) => [
          [
            `${'  '.repeat(depth)}${one.node}`,
            ...[one.program, one.zone, one.ready ? 'ready' : 'unready'],
            one.isAnswering ? '' : 'no answer: parent as the cores heard it',
          ],
          ...rowsUnder(one.node, depth + 1),
        ]);
    const rows = cores.flatMap((core) => [
      [core.node, core.program, core.zone, core.ready ? 'ready' : 'unready', ''],
      ...rowsUnder(core.node, 1),
    ]);
    const lost = below
      .filter((one) => !names.has(one.parent))
      .map((one) => [one.node, one.program, one.zone, one.ready ? 'ready' : 'unready', 'no parent is known']);
    const value = { cores: cores.map(({ node, zone, ready }) => ({ node, zone, ready })), below };
    return give(
      value,
      [['NODE', 'PROGRAM', 'ZONE', 'STATE', ''], ...rows, ...lost],
      terms,
      silentAmong(asked),
    );
  },
};
