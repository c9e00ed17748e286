// What the operators' command line does. Each command returns what it prints and its exit code: 0 done,
// 1 refused or not found, 3 not confirmed (the change may have been taken).
import { readFileSync } from 'node:fs';
import { Failure } from '../common/failure.js';
import { Check } from '../manifest/check.js';
import type { Client } from './client.js';
import { Diff } from './diff.js';
import { Import } from './import.js';
import { Walls } from './isolation-check.js';
import { Table } from './table.js';
import { Trace } from './trace.js';

export type Commands = { readonly text: string; readonly notes?: string; readonly code: number };

type Manifest = Record<string, unknown>;
type Work = { readonly requests: number; readonly prompt: number };
type Usage = { readonly used: Work; readonly quota: Partial<Work> & { readonly span: number } };
type Entry = Trace.Node & { readonly ready: boolean; readonly age: number; readonly http: string };

const show = (value: unknown): string => JSON.stringify(value, null, 2);

const judge = (response: Client.Response): Commands => ({
  text: show(response.body),
  code: response.status < 300 ? 0 : response.status === 503 ? 3 : 1,
});

const readText = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw Failure.of(
      'startup',
      `cannot read ${path}: ${Failure.text(cause)}; name a file, or - for standard input`,
    );
  }
};

const readFile = (path: string): unknown => {
  const text = readText(path);
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw Failure.of(
      'startup',
      `${path} is no JSON: ${Failure.text(cause)}; see docs/manifest.md for its form`,
    );
  }
};

const getManifest = async (
  client: Client,
): Promise<{ document: Manifest | undefined; tag: string; response: Client.Response }> => {
  const response = await client.call('GET', '/v1/manifest');
  const tag = String(response.headers.etag ?? '"0"');
  return { document: response.status === 200 ? (response.body as Manifest) : undefined, tag, response };
};

const stampText = ({ epoch, revision }: Trace.Stamp): string => `${epoch}.${revision}`;

const listNodes = async (client: Client): Promise<readonly Entry[]> => {
  const response = await client.call('GET', '/v1/nodes');
  if (response.status !== 200) throw new Error(show(response.body));
  return (response.body as { nodes: Entry[] }).nodes;
};

const oneOfEachZone = async (client: Client): Promise<readonly string[]> => {
  const proxies = (await listNodes(client))
    .filter((one) => one.program === 'proxy')
    .sort((a, b) => Number(a.ready) - Number(b.ready));
  return [...new Map(proxies.map((one) => [one.zone, one.http])).values()].sort();
};

export const Commands = {
  async get(client: Client, revision?: string): Promise<Commands> {
    const response = await client.call(
      'GET',
      revision === undefined ? '/v1/manifest' : `/v1/manifest/${revision}`,
    );
    return judge(response);
  },
  async put(
    client: Client,
    path: string,
    ifMatch: string | undefined,
    key: string | undefined,
  ): Promise<Commands> {
    const tag = ifMatch ?? (await getManifest(client)).tag;
    const headers = { 'if-match': tag, ...(key === undefined ? {} : { 'idempotency-key': key }) };
    return judge(await client.call('PUT', '/v1/manifest', readFile(path), headers));
  },
  check(path: string): Commands {
    const checked = Check.manifest(readFile(path));
    return checked.kind === 'good'
      ? { text: 'the manifest is good', code: 0 }
      : { text: checked.findings.map((one) => `${one.place} ${one.text}`).join('\n'), code: 1 };
  },
  import(path: string): Commands {
    const { draft, left, lacking } = Import.envoy(readText(path));
    const list = (title: string, findings: typeof left) =>
      findings.length === 0 ? [] : [title, ...findings.map((one) => `  ${one.place} ${one.text}`)];
    const notes = [
      ...list('in the file, by its place there:', left),
      ...list('still to be filled in, by its place in the draft:', lacking),
    ];
    return { text: show(draft), notes: notes.join('\n'), code: 0 };
  },
  async diff(client: Client, path: string): Promise<Commands> {
    const { document, response } = await getManifest(client);
    if (!document && response.status !== 404) return judge(response);
    const diffs = Diff.of(document ?? {}, readFile(path));
    return { text: diffs.length === 0 ? 'no difference' : Diff.text(diffs), code: 0 };
  },
  async rollback(client: Client, revision: string): Promise<Commands> {
    const { tag } = await getManifest(client);
    const body = { revision: Number(revision) };
    return judge(await client.call('POST', '/v1/manifest/rollback', body, { 'if-match': tag }));
  },
  async nodes(client: Client, isJson: boolean): Promise<Commands> {
    const nodes = await listNodes(client);
    if (isJson) return { text: show({ nodes }), code: 0 };
    const rows = [...nodes]
      .sort((a, b) => a.zone.localeCompare(b.zone) || a.node.localeCompare(b.node))
      .map((one) => [
        one.zone,
        one.node,
        one.program,
        stampText(one.stamp),
        one.ready ? 'ready' : 'unready',
        one.via,
      ]);
    return { text: Table.text([['ZONE', 'NODE', 'PROGRAM', 'STAMP', 'STATE', 'VIA'], ...rows]), code: 0 };
  },
  async status(client: Client): Promise<Commands> {
    return judge(await client.call('GET', '/v1/status'));
  },
  async force(client: Client, lose: string | undefined): Promise<Commands> {
    return judge(await client.call('POST', '/v1/cores/form', { lose }));
  },
  async usage(client: Client, isJson: boolean): Promise<Commands> {
    const response = await client.call('GET', '/v1/usage');
    if (response.status !== 200 || isJson) return judge(response);
    const { teams } = response.body as { teams: Readonly<Record<string, Usage>> };
    const of = (used: number, quota: number | undefined) => `${used} of ${quota ?? 'any'}`;
    const rows = Object.entries(teams).map(([team, { used, quota }]) => [
      team,
      of(used.requests, quota.requests),
      of(used.prompt, quota.prompt),
      `${quota.span / 1000} s`,
    ]);
    return { text: Table.text([['TEAM', 'REQUESTS', 'PROMPT BYTES', 'SPAN'], ...rows]), code: 0 };
  },
  async walls(
    client: () => Client,
    terms: Omit<Walls.Terms, 'proxies'> & { readonly through: readonly string[] },
  ): Promise<Commands> {
    const proxies = terms.through.length > 0 ? terms.through : await oneOfEachZone(client());
    const checked = await Walls.check({ ...terms, proxies });
    const span = (value: number | undefined) => (value === undefined ? '-' : `${value.toFixed(0)} ms`);
    const rows = checked.map((one) => [
      ...[one.from, one.to],
      ...[one.rounds, one.failed, one.met, one.seen, one.across].map(String),
      ...[span(one.own), span(one.other), one.verdict],
    ]);
    const head = ['FIRST THROUGH', 'SECOND THROUGH', 'ROUNDS', 'FAILED', 'MET', 'OWN SEEN', 'ACROSS'];
    const isSome = (verdict: Walls['verdict']) => checked.some((one) => one.verdict === verdict);
    return {
      text: Table.text([[...head, 'OWN AGAIN', 'SECOND', 'VERDICT'], ...rows]),
      code: isSome('MATCH') ? 1 : isSome('unsure') || checked.length === 0 ? 3 : 0,
    };
  },
  async audit(client: Client): Promise<Commands> {
    return judge(await client.call('GET', '/v1/audit'));
  },
  async trace(client: Client, path: string | undefined, within: number): Promise<Commands> {
    const nodes = await listNodes(client);
    let wanted: Trace.Stamp | undefined;
    const before = await client.call('GET', '/v1/status');
    if (before.status !== 200) return judge(before);
    const { stamp } = before.body as { stamp: Trace.Stamp };
    if (path === undefined) wanted = stamp;
    else {
      const { tag } = await getManifest(client);
      const running = client.call('PUT', '/v1/manifest', readFile(path), { 'if-match': tag });
      const traced = Trace.run(nodes, { epoch: stamp.epoch, revision: stamp.revision + 1 }, within);
      const put = await running;
      if (put.status !== 200) return judge(put);
      return Commands.print(await traced);
    }
    return Commands.print(await Trace.run(nodes, wanted, within));
  },
  print(traces: readonly Trace[]): Commands {
    const rows = [...traces]
      .sort((a, b) => (a.after ?? Number.POSITIVE_INFINITY) - (b.after ?? Number.POSITIVE_INFINITY))
      .map((one) => [
        one.after === undefined ? 'never' : `${one.after.toFixed(0)} ms`,
        one.node,
        one.program,
        one.zone,
        one.via,
      ]);
    const isEverywhere = traces.every((one) => one.after !== undefined);
    return {
      text: Table.text([['HELD AFTER', 'NODE', 'PROGRAM', 'ZONE', 'VIA'], ...rows]),
      code: isEverywhere ? 0 : 1,
    };
  },
};
