/**
 * Commands of the operators' command line. Each returns what it prints and its exit code: 0 done, 1 refused or not found,
 * 3 not confirmed, so that the change may have been taken.
 */

import { readFileSync } from 'node:fs';
import { Failure } from '../common/failure.js';
import { Check } from '../manifest/check.js';
import type { Client } from './client.js';
import { Diff } from './diff.js';
import { Import } from './import.js';
import { IsolationCheck } from './isolation-check.js';
import { Table } from './table.js';
import { Trace } from './trace.js';

/** The result of a command: output, notes for standard error, and the exit code. */
export type Commands = { readonly text: string; readonly notes?: string; readonly code: number };

type Manifest = Record<string, unknown>;
type Consumption = { readonly requests: number; readonly prompt: number };
type Usage = { readonly used: Consumption; readonly quota: Partial<Consumption> & { readonly span: number } };
type Entry = Trace.Node & { readonly ready: boolean; readonly age: number; readonly http: string };

const toJson = (value: unknown): string => JSON.stringify(value, null, 2);

/** The result of a command that prints the response. */
const toResult = (response: Client.Response): Commands => ({
  text: toJson(response.body),
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
      `${path} is no JSON: ${Failure.text(cause)}; docs/manifest.md describes the format`,
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
  if (response.status !== 200) throw new Error(toJson(response.body));
  return (response.body as { nodes: Entry[] }).nodes;
};

/** The address of one proxy in each zone, a ready one if there is one. */
const oneProxyPerZone = async (client: Client): Promise<readonly string[]> => {
  const proxies = (await listNodes(client))
    .filter((one) => one.program === 'proxy')
    .sort((a, b) => Number(a.ready) - Number(b.ready));
  return [...new Map(proxies.map((one) => [one.zone, one.http])).values()].sort();
};

/** The commands for manifests, members, status and checks. */
export const Commands = {
  /** Prints the manifest in force, or the one of a revision. */
  async get(client: Client, revision?: string): Promise<Commands> {
    const response = await client.call(
      'GET',
      revision === undefined ? '/v1/manifest' : `/v1/manifest/${revision}`,
    );
    return toResult(response);
  },
  /** Replaces the manifest by a file; by default the newest revision is replaced. */
  async put(
    client: Client,
    path: string,
    ifMatch: string | undefined,
    key: string | undefined,
  ): Promise<Commands> {
    const tag = ifMatch ?? (await getManifest(client)).tag;
    const headers = { 'if-match': tag, ...(key === undefined ? {} : { 'idempotency-key': key }) };
    return toResult(await client.call('PUT', '/v1/manifest', readFile(path), headers));
  },
  /** Checks a manifest file without a control plane. */
  check(path: string): Commands {
    const checked = Check.manifest(readFile(path));
    return checked.kind === 'good'
      ? { text: 'the manifest is good', code: 0 }
      : { text: checked.findings.map((one) => `${one.place} ${one.text}`).join('\n'), code: 1 };
  },
  /** Prints a draft of a manifest made from an Envoy configuration, with findings as notes. */
  import(path: string): Commands {
    const { draft, skipped, missing } = Import.fromEnvoy(readText(path));
    const list = (title: string, findings: typeof skipped) =>
      findings.length === 0 ? [] : [title, ...findings.map((one) => `  ${one.place} ${one.text}`)];
    const notes = [
      ...list('in the file, by its place there:', skipped),
      ...list('still to be filled in, by its place in the draft:', missing),
    ];
    return { text: toJson(draft), notes: notes.join('\n'), code: 0 };
  },
  /** Prints how a file differs from the manifest in force. */
  async diff(client: Client, path: string): Promise<Commands> {
    const { document, response } = await getManifest(client);
    if (!document && response.status !== 404) return toResult(response);
    const diffs = Diff.of(document ?? {}, readFile(path));
    return { text: diffs.length === 0 ? 'no difference' : Diff.text(diffs), code: 0 };
  },
  /** Restores a retained manifest as a new revision. */
  async rollback(client: Client, revision: string): Promise<Commands> {
    const { tag } = await getManifest(client);
    const body = { revision: Number(revision) };
    return toResult(await client.call('POST', '/v1/manifest/rollback', body, { 'if-match': tag }));
  },
  /** Prints the members with the version that each holds. */
  async nodes(client: Client, isJson: boolean): Promise<Commands> {
    const nodes = await listNodes(client);
    if (isJson) return { text: toJson({ nodes }), code: 0 };
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
  /** Prints the status of the control plane. */
  async status(client: Client): Promise<Commands> {
    return toResult(await client.call('GET', '/v1/status'));
  },
  /** Forms the cores without a missing one, which loses what only that core holds. */
  async force(client: Client, lose: string | undefined): Promise<Commands> {
    return toResult(await client.call('POST', '/v1/cores/form', { lose }));
  },
  /** Prints what each team with a quota has used. */
  async usage(client: Client, isJson: boolean): Promise<Commands> {
    const response = await client.call('GET', '/v1/usage');
    if (response.status !== 200 || isJson) return toResult(response);
    const { teams } = response.body as { teams: Readonly<Record<string, Usage>> };
    const formatUse = (used: number, quota: number | undefined) => `${used} of ${quota ?? 'any'}`;
    const rows = Object.entries(teams).map(([team, { used, quota }]) => [
      team,
      formatUse(used.requests, quota.requests),
      formatUse(used.prompt, quota.prompt),
      `${quota.span / 1000} s`,
    ]);
    return { text: Table.text([['TEAM', 'REQUESTS', 'PROMPT BYTES', 'SPAN'], ...rows]), code: 0 };
  },
  /** Checks the isolation of two tenants in the running fleet. */
  async walls(
    client: () => Client,
    options: Omit<IsolationCheck.Options, 'proxies'> & { readonly through: readonly string[] },
  ): Promise<Commands> {
    const proxies = options.through.length > 0 ? options.through : await oneProxyPerZone(client());
    const checked = await IsolationCheck.run({ ...options, proxies });
    const duration = (value: number | undefined) => (value === undefined ? '-' : `${value.toFixed(0)} ms`);
    const rows = checked.map((one) => [
      ...[one.from, one.to],
      ...[one.rounds, one.failed, one.sameServer, one.ownHits, one.crossHits].map(String),
      ...[duration(one.ownMs), duration(one.otherMs), one.verdict],
    ]);
    const head = ['FIRST THROUGH', 'SECOND THROUGH', 'ROUNDS', 'FAILED', 'MET', 'OWN SEEN', 'ACROSS'];
    const hasVerdict = (verdict: IsolationCheck['verdict']) => checked.some((one) => one.verdict === verdict);
    return {
      text: Table.text([[...head, 'OWN AGAIN', 'SECOND', 'VERDICT'], ...rows]),
      code: hasVerdict('MATCH') ? 1 : hasVerdict('unsure') || checked.length === 0 ? 3 : 0,
    };
  },
  /** Prints the audit log of changes. */
  async audit(client: Client): Promise<Commands> {
    return toResult(await client.call('GET', '/v1/audit'));
  },
  /** Traces a change to all nodes: one made by putting a file, or the newest. */
  async trace(client: Client, path: string | undefined, timeoutMs: number): Promise<Commands> {
    const nodes = await listNodes(client);
    let target: Trace.Stamp | undefined;
    const before = await client.call('GET', '/v1/status');
    if (before.status !== 200) return toResult(before);
    const { stamp } = before.body as { stamp: Trace.Stamp };
    if (path === undefined) target = stamp;
    else {
      const { tag } = await getManifest(client);
      const pendingPut = client.call('PUT', '/v1/manifest', readFile(path), { 'if-match': tag });
      const traced = Trace.run(nodes, { epoch: stamp.epoch, revision: stamp.revision + 1 }, timeoutMs);
      const put = await pendingPut;
      if (put.status !== 200) return toResult(put);
      return Commands.print(await traced);
    }
    return Commands.print(await Trace.run(nodes, target, timeoutMs));
  },
  /** The result of a trace, in the order in which the nodes held the change. */
  print(traces: readonly Trace[]): Commands {
    const rows = [...traces]
      .sort((a, b) => (a.afterMs ?? Number.POSITIVE_INFINITY) - (b.afterMs ?? Number.POSITIVE_INFINITY))
      .map((one) => [
        one.afterMs === undefined ? 'never' : `${one.afterMs.toFixed(0)} ms`,
        one.node,
        one.program,
        one.zone,
        one.via,
      ]);
    const isEverywhere = traces.every((one) => one.afterMs !== undefined);
    return {
      text: Table.text([['HELD AFTER', 'NODE', 'PROGRAM', 'ZONE', 'VIA'], ...rows]),
      code: isEverywhere ? 0 : 1,
    };
  },
};
