/**
 * Import of Envoy configuration files, in YAML or JSON. Clusters become groups and routes become rules of a draft manifest.
 * Whatever is not carried over is reported with its place, and so is what the draft still lacks: Envoy's configuration knows
 * neither regions nor homes, nor which requests may run twice.
 */

import { parse } from 'yaml';
import { Failure } from '../common/failure.js';
import type { Guard } from '../common/guard.js';
import { Check } from '../manifest/check.js';
import { Document } from '../manifest/document.js';

/** The draft, what was not carried over, and what the draft still lacks. */
export type Import = {
  readonly draft: Readonly<Record<string, unknown>>;
  readonly skipped: readonly Guard.Finding[];
  readonly missing: readonly Guard.Finding[];
};

type Node = { readonly value: unknown; readonly place: string };
type Fields = Readonly<Record<string, unknown>>;

const unitMs: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 };
const retryConditions: readonly string[] = Document.conditions;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** The places of all values that are not objects or arrays. */
const leavesOf = ({ value, place }: Node): readonly string[] =>
  typeof value !== 'object' || value === null
    ? [place]
    : Object.entries(value).flatMap(([key, inner]) => leavesOf({ value: inner, place: `${place}/${key}` }));

/** A valid name for the manifest, made from any text. */
const nameOf = (text: string): string =>
  text
    .replace(/[^A-Za-z0-9._-]+/g, '-')
    .replace(/^[^A-Za-z0-9]+/, '')
    .slice(0, 64);

/** Imports configuration files of other proxies. */
export const Import = {
  /** Turns an Envoy configuration into a draft. */
  fromEnvoy(text: string): Import {
    let configuration: unknown;
    try {
      configuration = parse(text);
    } catch (cause) {
      throw Failure.of('startup', `the file is neither YAML nor JSON: ${Failure.text(cause)}`);
    }
    const root: Node = { value: configuration, place: '' };
    const carried = new Set<string>();
    const at = ({ value, place }: Node, ...path: readonly (string | number)[]): Node =>
      path.reduce<Node>(
        (node, key) => ({
          value:
            typeof node.value === 'object' && node.value !== null ? (node.value as Fields)[key] : undefined,
          place: `${node.place}/${key}`,
        }),
        { value, place },
      );
    const each = (node: Node): readonly Node[] =>
      Array.isArray(node.value) ? node.value.map((_one, index) => at(node, index)) : [];
    /** Reads a value and, if it could be read, marks it as carried over. */
    const carry = <T>(node: Node, read: (value: unknown) => T | undefined): T | undefined => {
      const result = node.value === undefined ? undefined : read(node.value);
      if (result !== undefined) for (const leaf of leavesOf(node)) carried.add(leaf);
      return result;
    };
    const readString = (node: Node) =>
      carry(node, (value) => (typeof value === 'string' ? value : undefined));
    const readInteger = (node: Node) =>
      carry(node, (value) => (Number.isSafeInteger(value) ? (value as number) : undefined));
    const readDuration = (node: Node) =>
      carry(node, (value) => {
        const found = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(String(value));
        const length = found ? Math.round(Number(found[1]) * unitMs[found[2]!]!) : 0;
        return length > 0 ? length : undefined;
      });
    /** The fields without undefined values and empty objects. */
    const compact = <T extends object>(fields: T): Partial<T> =>
      Object.fromEntries(
        Object.entries(fields).filter(
          ([, value]) => value !== undefined && !(isFields(value) && Object.keys(value).length === 0),
        ),
      ) as Partial<T>;

    const clusters = each(at(root, 'static_resources', 'clusters'));
    const connectTimeouts = new Map<string, number | undefined>();
    const groups = Object.fromEntries(
      clusters.flatMap((cluster) => {
        const name = readString(at(cluster, 'name'));
        if (name === undefined) return [];
        connectTimeouts.set(name, readDuration(at(cluster, 'connect_timeout')));
        const detection = at(cluster, 'outlier_detection');
        const ejection = compact({
          consecutive_5xx: readInteger(at(detection, 'consecutive_5xx')),
          base_ejection_time: readDuration(at(detection, 'base_ejection_time')),
          max_ejection_percent: readInteger(at(detection, 'max_ejection_percent')),
        });
        const concurrent = readInteger(at(cluster, 'circuit_breakers', 'thresholds', 0, 'max_requests'));
        return [[nameOf(name), compact({ kind: 'plain', regions: [], concurrent, ejection })] as const];
      }),
    );
    const readRule = (entry: Node, index: number) => {
      const action = at(entry, 'route');
      const cluster = readString(at(action, 'cluster'));
      if (cluster === undefined) return [];
      const exact = readString(at(entry, 'match', 'path'));
      const prefix = exact === undefined ? readString(at(entry, 'match', 'prefix')) : undefined;
      if (exact === undefined && prefix === undefined) return [];
      const headers = each(at(entry, 'match', 'headers')).flatMap((header) => {
        const value =
          readString(at(header, 'string_match', 'exact')) ?? readString(at(header, 'exact_match'));
        const name = value === undefined ? undefined : readString(at(header, 'name'));
        return name !== undefined && value !== undefined ? [[name.toLowerCase(), value] as const] : [];
      });
      const method = headers.find(([name]) => name === ':method')?.[1];
      const policy = at(action, 'retry_policy');
      const retryOn = carry(at(policy, 'retry_on'), (value) => {
        const list = String(value)
          .split(',')
          .map((one) => one.trim());
        return list.every((one) => retryConditions.includes(one)) ? list : undefined;
      });
      return [
        compact({
          name: nameOf(readString(at(entry, 'name')) ?? `route-${index + 1}`),
          match: compact({
            path: exact ?? `${prefix!.replace(/\/$/, '')}/*`,
            method,
            headers: compact(Object.fromEntries(headers.filter(([name]) => !name.startsWith(':')))),
          }),
          groups: [nameOf(cluster)],
          runs: 'once',
          timeouts: compact({
            connect: connectTimeouts.get(cluster),
            per_try: readDuration(at(policy, 'per_try_timeout')),
            total: readDuration(at(action, 'timeout')),
            idle: readDuration(at(action, 'idle_timeout')),
          }),
          retry: compact({
            retry_on: retryOn,
            count: readInteger(at(policy, 'num_retries')),
            codes: carry(at(policy, 'retriable_status_codes'), (value) =>
              Array.isArray(value) ? value : undefined,
            ),
            base: readDuration(at(policy, 'retry_back_off', 'base_interval')),
            max: readDuration(at(policy, 'retry_back_off', 'max_interval')),
          }),
        }),
      ];
    };
    const chains = each(at(root, 'static_resources', 'listeners')).flatMap((one) =>
      each(at(one, 'filter_chains')),
    );
    const rules = chains
      .flatMap((chain) => each(at(chain, 'filters')))
      .flatMap((filter) => each(at(filter, 'typed_config', 'route_config', 'virtual_hosts')))
      .flatMap((host) => each(at(host, 'routes')))
      .flatMap(readRule);
    const draft = { zones: {}, groups, homes: {}, teams: {}, rules };
    const checked = Check.manifest(draft);
    return {
      draft,
      skipped: leavesOf(root)
        .filter((place) => !carried.has(place))
        .map((place) => ({ place, text: 'is not carried over' })),
      missing: checked.kind === 'bad' ? checked.findings : [],
    };
  },
};
