// Import of Envoy's configuration files, as YAML or JSON: clusters become groups and routes become rules of a
// manifest draft. Whatever is not carried over is reported with its place, and so is what the draft still
// lacks, for that configuration knows neither regions nor homes nor which requests may run twice.
import { parse } from 'yaml';
import { Failure } from '../common/failure.js';
import type { Guard } from '../common/guard.js';
import { Check } from '../manifest/check.js';
import { Document } from '../manifest/document.js';

export type Import = {
  readonly draft: Readonly<Record<string, unknown>>;
  readonly left: readonly Guard.Finding[];
  readonly lacking: readonly Guard.Finding[];
};

type Node = { readonly value: unknown; readonly place: string };
type Fields = Readonly<Record<string, unknown>>;

const spans: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 };
const conditions: readonly string[] = Document.conditions;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const leavesOf = ({ value, place }: Node): readonly string[] =>
  typeof value !== 'object' || value === null
    ? [place]
    : Object.entries(value).flatMap(([key, inner]) => leavesOf({ value: inner, place: `${place}/${key}` }));

const nameOf = (text: string): string =>
  text
    .replace(/[^A-Za-z0-9._-]+/g, '-')
    .replace(/^[^A-Za-z0-9]+/, '')
    .slice(0, 64);

export const Import = {
  envoy(text: string): Import {
    let whole: unknown;
    try {
      whole = parse(text);
    } catch (cause) {
      throw Failure.of('startup', `the file is neither YAML nor JSON: ${Failure.text(cause)}`);
    }
    const root: Node = { value: whole, place: '' };
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
    const carry = <T>(node: Node, read: (value: unknown) => T | undefined): T | undefined => {
      const got = node.value === undefined ? undefined : read(node.value);
      if (got !== undefined) for (const leaf of leavesOf(node)) carried.add(leaf);
      return got;
    };
    const word = (node: Node) => carry(node, (value) => (typeof value === 'string' ? value : undefined));
    const count = (node: Node) =>
      carry(node, (value) => (Number.isSafeInteger(value) ? (value as number) : undefined));
    const span = (node: Node) =>
      carry(node, (value) => {
        const found = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(String(value));
        const length = found ? Math.round(Number(found[1]) * spans[found[2]!]!) : 0;
        return length > 0 ? length : undefined;
      });
    const known = <T extends object>(fields: T): Partial<T> =>
      Object.fromEntries(
        Object.entries(fields).filter(
          ([, value]) => value !== undefined && !(isFields(value) && Object.keys(value).length === 0),
        ),
      ) as Partial<T>;

    const clusters = each(at(root, 'static_resources', 'clusters'));
    const connects = new Map<string, number | undefined>();
    const groups = Object.fromEntries(
      clusters.flatMap((cluster) => {
        const name = word(at(cluster, 'name'));
        if (name === undefined) return [];
        connects.set(name, span(at(cluster, 'connect_timeout')));
        const detection = at(cluster, 'outlier_detection');
        const ejection = known({
          consecutive_5xx: count(at(detection, 'consecutive_5xx')),
          base_ejection_time: span(at(detection, 'base_ejection_time')),
          max_ejection_percent: count(at(detection, 'max_ejection_percent')),
        });
        const concurrent = count(at(cluster, 'circuit_breakers', 'thresholds', 0, 'max_requests'));
        return [[nameOf(name), known({ kind: 'plain', regions: [], concurrent, ejection })] as const];
      }),
    );
    const readRule = (entry: Node, index: number) => {
      const action = at(entry, 'route');
      const cluster = word(at(action, 'cluster'));
      if (cluster === undefined) return [];
      const exact = word(at(entry, 'match', 'path'));
      const prefix = exact === undefined ? word(at(entry, 'match', 'prefix')) : undefined;
      if (exact === undefined && prefix === undefined) return [];
      const headers = each(at(entry, 'match', 'headers')).flatMap((header) => {
        const value = word(at(header, 'string_match', 'exact')) ?? word(at(header, 'exact_match'));
        const name = value === undefined ? undefined : word(at(header, 'name'));
        return name !== undefined && value !== undefined ? [[name.toLowerCase(), value] as const] : [];
      });
      const method = headers.find(([name]) => name === ':method')?.[1];
      const policy = at(action, 'retry_policy');
      const retryOn = carry(at(policy, 'retry_on'), (value) => {
        const list = String(value)
          .split(',')
          .map((one) => one.trim());
        return list.every((one) => conditions.includes(one)) ? list : undefined;
      });
      return [
        known({
          name: nameOf(word(at(entry, 'name')) ?? `route-${index + 1}`),
          match: known({
            path: exact ?? `${prefix!.replace(/\/$/, '')}/*`,
            method,
            headers: known(Object.fromEntries(headers.filter(([name]) => !name.startsWith(':')))),
          }),
          groups: [nameOf(cluster)],
          runs: 'once',
          timeouts: known({
            connect: connects.get(cluster),
            per_try: span(at(policy, 'per_try_timeout')),
            total: span(at(action, 'timeout')),
            idle: span(at(action, 'idle_timeout')),
          }),
          retry: known({
            retry_on: retryOn,
            count: count(at(policy, 'num_retries')),
            codes: carry(at(policy, 'retriable_status_codes'), (value) =>
              Array.isArray(value) ? value : undefined,
            ),
            base: span(at(policy, 'retry_back_off', 'base_interval')),
            max: span(at(policy, 'retry_back_off', 'max_interval')),
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
      left: leavesOf(root)
        .filter((place) => !carried.has(place))
        .map((place) => ({ place, text: 'is not carried over' })),
      lacking: checked.kind === 'bad' ? checked.findings : [],
    };
  },
};
