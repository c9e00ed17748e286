/**
 * Commands that show the fleet as tables or JSON: the proxies for each zone, evacuations, the servers with their load and
 * the proxies that are warming them up, the tokens for extra tries, and the distribution tree. What only a program itself
 * knows is read from its operations port; a program that does not answer is shown as such.
 */

import { request } from 'undici';
import type { Client } from './client.js';
import type { Commands } from './commands.js';
import { Table } from './table.js';

/** How a command prints its result. */
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

const healthTimeoutMs = 1000;
/** Shown in tables for a value that is absent. */
const emptyCell = '-';

const fail = (response: Client.Response): Commands => ({
  text: JSON.stringify(response.body, null, 2),
  code: response.status === 503 ? 3 : 1,
});

const toResult = (
  value: unknown,
  rows: Table,
  { isJson }: Fleet,
  notes: readonly string[] = [],
): Commands => ({
  text: isJson ? JSON.stringify(value, null, 2) : Table.text(rows),
  ...(notes.length > 0 ? { notes: notes.join('\n') } : {}),
  code: 0,
});

const readHealth = async (ops: string): Promise<Health | undefined> => {
  try {
    const response = await request(`http://${ops}/health`, {
      headersTimeout: healthTimeoutMs,
      bodyTimeout: healthTimeoutMs,
    });
    return (await response.body.json()) as Health;
  } catch {
    return undefined;
  }
};

const readEachHealth = (nodes: readonly Node[]) =>
  Promise.all(nodes.map(async (node) => ({ ...node, health: await readHealth(node.ops) })));

/** A note that names the nodes which did not answer. */
const noteUnreachable = (nodes: readonly { node: string; health: Health | undefined }[]): string[] => {
  const unreachable = nodes.filter(({ health }) => !health).map(({ node }) => node);
  return unreachable.length === 0
    ? []
    : [`no answer at the operations port of ${unreachable.join(', ')}: ask from where it can be reached`];
};

const byZoneAndNode = (a: { zone: string; node: string }, b: { zone: string; node: string }) =>
  a.zone.localeCompare(b.zone) || a.node.localeCompare(b.node);

/** The bodies of all responses, or the first response that is an error. */
const readAll = async (client: Client, paths: readonly string[]) => {
  const responses = await Promise.all(paths.map((path) => client.call('GET', path)));
  const failed = responses.find((one) => one.status !== 200);
  return failed ? { failed } : { bodies: responses.map((one) => one.body) };
};

/** The commands that show the fleet and change evacuations. */
export const Fleet = {
  /** The proxies that clients of a zone, or of every zone, should use. */
  async directory(client: Client, zone: string | undefined, options: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/evacuations']);
    if (!read.bodies) return fail(read.failed);
    const { zones } = read.bodies[0] as { zones: readonly Zone[] };
    const known = zones.map((one) => one.zone);
    if (zone !== undefined && !known.includes(zone))
      return { text: `the manifest names no zone ${zone}; it names ${known.join(', ')}`, code: 1 };
    const directories = await Promise.all(
      (zone === undefined ? known : [zone]).map(async (from) => {
        const response = await client.call('GET', `/v1/directory?zone=${encodeURIComponent(from)}`);
        const { proxies = [] } = response.body as { proxies?: readonly Proxy[] };
        return { zone: from, proxies };
      }),
    );
    const rows = directories.flatMap(({ zone: from, proxies }) =>
      proxies.length === 0
        ? [[from, emptyCell, emptyCell, 'no ready proxy is known just now']]
        : proxies.map((one) => [from, one.node, one.zone, one.address]),
    );
    const hasProxy = directories.some(({ proxies }) => proxies.length > 0);
    const result = toResult({ zones: directories }, [['FROM', 'PROXY', 'ZONE', 'ADDRESS'], ...rows], options);
    return hasProxy ? result : { ...result, code: 3 };
  },
  /** All zones and whether they are evacuated. */
  async evacuations(client: Client, options: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/evacuations']);
    if (!read.bodies) return fail(read.failed);
    const { zones } = read.bodies[0] as { zones: readonly Zone[] };
    const rows = zones.map((one) => [one.zone, one.region, one.evacuated ? 'evacuated' : 'open']);
    return toResult({ zones }, [['ZONE', 'REGION', 'STATE'], ...rows], options);
  },
  /** Begins or finishes an evacuation. It changes nothing else and may be repeated safely. */
  async evacuate(client: Client, zone: string, verb: 'begin' | 'finish', options: Fleet): Promise<Commands> {
    const path = `/v1/evacuations/${encodeURIComponent(zone)}/${verb}`;
    const response = await client.call('POST', path, {});
    if (response.status !== 200) {
      const { error } = response.body as { error?: { message?: string } };
      const advice =
        response.status === 503 ? 'not confirmed: repeat the same command, which is safe' : undefined;
      const notes = [error?.message, advice].filter((one) => one !== undefined);
      return { ...fail(response), notes: notes.join('; ') };
    }
    const { evacuations } = response.body as { evacuations: readonly string[] };
    const done = `evacuated now: ${evacuations.length > 0 ? evacuations.join(', ') : 'no zone'}`;
    return options.isJson
      ? { text: JSON.stringify({ evacuations }, null, 2), code: 0 }
      : { text: done, code: 0 };
  },
  /** Servers with their state and load, and at how many proxies they are cold, out or dark. */
  async servers(client: Client, group: string | undefined, options: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/servers', '/v1/evacuations', '/v1/loads', '/v1/nodes']);
    if (!read.bodies) return fail(read.failed);
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
    const proxies = await readEachHealth(members.nodes.filter((one) => one.program === 'proxy'));
    const proxiesWith = (kind: 'cold' | 'out' | 'dark' | 'leaving', instance: string) =>
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
        cold: proxiesWith('cold', one.instance),
        out: [...proxiesWith('out', one.instance), ...proxiesWith('leaving', one.instance)],
        dark: proxiesWith('dark', one.instance),
      }))
      .sort((a, b) => a.group.localeCompare(b.group) || a.instance.localeCompare(b.instance));
    const formatShare = (list: readonly string[]) =>
      list.length === 0 ? emptyCell : `${list.length}/${proxies.length}`;
    const rows = servers.map((one) => [
      ...[one.group, one.instance, one.zone, one.address, one.state],
      ...(one.load ? [one.load.queued, one.load.active].map(String) : [emptyCell, emptyCell]),
      one.slots === undefined ? emptyCell : String(one.slots),
      one.load ? `${Math.round(one.load.bound * 100)} %` : emptyCell,
      ...[formatShare(one.cold), formatShare(one.out), formatShare(one.dark)],
    ]);
    const head = ['GROUP', 'INSTANCE', 'ZONE', 'ADDRESS', 'STATE', 'QUEUED', 'ACTIVE', 'SLOTS', 'MEMORY'];
    const value = { proxies: proxies.length, servers };
    return toResult(
      value,
      [[...head, 'COLD AT', 'OUT AT', 'DARK AT'], ...rows],
      options,
      noteUnreachable(proxies),
    );
  },
  /** Tokens for extra tries, in the pool and at each proxy. */
  async budget(client: Client, options: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/budget', '/v1/nodes']);
    if (!read.bodies) return fail(read.failed);
    const [{ holder, pooled, groups = {} }, { nodes }] = read.bodies as [
      { holder?: string; pooled: number; groups?: Readonly<Record<string, number>> },
      { nodes: readonly Node[] },
    ];
    const proxies = (await readEachHealth(nodes.filter((one) => one.program === 'proxy'))).sort(
      byZoneAndNode,
    );
    const held = proxies.map(({ node, zone, health }) => ({ node, zone, tokens: health?.tokens ?? null }));
    const rows = held.map((one) => [
      one.zone,
      one.node,
      one.tokens === null ? 'no answer' : one.tokens.toFixed(1),
    ]);
    return toResult(
      { holder: holder ?? null, pooled, groups, proxies: held },
      [['ZONE', 'HELD BY', 'TOKENS'], ['pool', holder ?? 'no holder', pooled.toFixed(1)], ...rows],
      options,
      noteUnreachable(proxies),
    );
  },
  /** The distribution tree from the cores down, then the nodes whose parent is unknown. */
  async tree(client: Client, options: Fleet): Promise<Commands> {
    const read = await readAll(client, ['/v1/nodes']);
    if (!read.bodies) return fail(read.failed);
    const { nodes } = read.bodies[0] as { nodes: readonly Node[] };
    const cores = nodes.filter((one) => one.program === 'control').sort(byZoneAndNode);
    const asked = (await readEachHealth(nodes.filter((one) => one.program !== 'control'))).sort(
      byZoneAndNode,
    );
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
    const orphans = below
      .filter((one) => !names.has(one.parent))
      .map((one) => [one.node, one.program, one.zone, one.ready ? 'ready' : 'unready', 'no parent is known']);
    const value = { cores: cores.map(({ node, zone, ready }) => ({ node, zone, ready })), below };
    return toResult(
      value,
      [['NODE', 'PROGRAM', 'ZONE', 'STATE', ''], ...rows, ...orphans],
      options,
      noteUnreachable(asked),
    );
  },
};
