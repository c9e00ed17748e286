/**
 * A manifest compiled for the request path: lookup of the team of an API key, of rules with their fallback steps, and of
 * the servers of each group. All defaults of the manifest are applied here and nowhere else.
 */
import { createHash } from 'node:crypto';
import { type Address, Address as Addresses } from '../common/address.js';
import type { Id } from '../common/id.js';
import type { Stamp } from '../common/stamp.js';
import type { Document } from './document.js';
import type { View } from './view.js';
import { Wall } from './wall.js';

/** A manifest together with the server list, ready for lookups. */
export type Compiled = {
  readonly stamp: Stamp;
  readonly rules: readonly Compiled.Rule[];
  readonly groups: ReadonlyMap<string, Compiled.Group>;
  readonly servers: ReadonlyMap<string, Compiled.Server>;
  readonly homes: ReadonlyMap<string, readonly Id.Region[]>;
  readonly isEvacuated: (zone: string) => boolean;
  readonly regionOf: (zone: string) => Id.Region | undefined;
  readonly regions: readonly Id.Region[];
  readonly limits: Document.Limits;
  readonly walls: Wall.Walls | undefined;
  /** Whether any team has an API key; without one, keys of requests are not looked at. */
  readonly hasKeys: boolean;
  /** The team of requests without an API key. */
  readonly anonymousTeam: Compiled.Team | undefined;
  /** Finds the team of an API key. */
  readonly findTeamByKey: (key: string) => Compiled.Team | undefined;
};

/** Parts of a compiled manifest; durations are in milliseconds. */
export declare namespace Compiled {
  type Team = {
    readonly name: Id.Team;
    readonly home: Id.Home | undefined;
    readonly homes: readonly Id.Home[] | undefined;
    readonly quota: Document.Quota | undefined;
    /** Takes precedence over the priority of the rule. */
    readonly priority: number | undefined;
  };
  /** Outlier ejection: consecutive errors, base ejection time, and the maximum share of the group in percent. */
  type Ejection = { readonly consecutive: number; readonly base: number; readonly percent: number };
  type Group = {
    readonly name: Id.Group;
    readonly kind: 'model' | 'plain';
    readonly models: readonly string[];
    readonly regions: readonly Id.Region[];
    readonly identity: Document.Identity;
    readonly proof: Document.Proof | undefined;
    /** The response header in which its servers echo the request id. */
    readonly echo: string | undefined;
    readonly warmup: Document.Warmup | undefined;
    /** Maximum number of connections to one server. */
    readonly connections: number | undefined;
    /** Size of the prompt cache of one server, in tokens. */
    readonly memory: number | undefined;
    /** How its servers isolate tenants; undefined if the manifest configures no isolation. */
    readonly wall: Wall.Mechanism | undefined;
    /** Whether a response states that the server did not run the request. */
    readonly isNotRun: (status: number, headers: Readonly<Record<string, unknown>>) => boolean;
    /** Maximum number of concurrent requests to one server. */
    readonly concurrent: number;
    readonly ejection: Ejection;
    readonly servers: readonly Server[];
  };
  type Server = {
    readonly instance: Id.Instance;
    readonly group: Id.Group;
    readonly address: Address;
    readonly region: Id.Region;
    readonly zone: Id.Zone;
    /** Whether it takes new requests: it is not leaving, and its zone is not evacuated. */
    readonly isOpen: boolean;
    readonly slots: number | undefined;
    /** How long the server will still be warming up. */
    readonly warming: number;
  };
  /** A tier of groups to try, and the model to request there if it differs. */
  type Step = { readonly groups: readonly Id.Group[]; readonly model: string | undefined };
  type Retry = {
    readonly on: ReadonlySet<string>;
    readonly codes: ReadonlySet<number>;
    readonly maxRetries: number;
    readonly baseBackoffMs: number;
    readonly maxBackoffMs: number;
  };
  type Rule = {
    readonly name: string;
    readonly match: Document.Rule['match'];
    /** The prefix of a path pattern that ends in `/*`. */
    readonly pathPrefix: string | undefined;
    readonly steps: readonly Step[];
    /** Whether a request must not be repeated once it may have run. */
    readonly isOnce: boolean;
    /** Whether an interrupted stream may be resumed after its last event. */
    readonly isResumable: boolean;
    readonly weights: Readonly<Record<string, number>> | undefined;
    /** Target time to the first byte. */
    readonly aim: number | undefined;
    /** Target time between two events of a stream. */
    readonly gap: number | undefined;
    readonly priority: number | undefined;
    readonly homeRegions: readonly Id.Region[] | undefined;
    readonly homeHeader: string | undefined;
    /** Regions that requests may spill over to from the first one, in this order. */
    readonly spill: readonly Id.Region[];
    /** How often a request may move on to a further tier: another step or region. */
    readonly hops: number;
    readonly timeouts: Document.Timeouts;
    /** The highest timeouts that a request may ask for. */
    readonly bounds: Document.Timeouts;
    readonly retry: Retry;
    readonly hasAffinity: boolean;
    /** Whether the rule refuses requests without an API key. */
    readonly needsKey: boolean;
    readonly usesSharedWall: boolean;
    readonly maxBodyBytes: number;
    readonly teams: readonly Id.Team[] | undefined;
  };
}

/** Default timeouts, in milliseconds. */
const defaultTimeouts: Document.Timeouts = {
  connect: 1000,
  first_byte: 20_000,
  per_try: 30_000,
  total: 60_000,
  idle: 15_000,
};

/** The body limit of a rule if neither the rule nor the manifest sets one. */
const defaultMaxBodyBytes = 4 * 1024 * 1024;
/** The highest body limit of a rule if the manifest sets none for all. */
const highestMaxBodyBytes = 64 * 1024 * 1024;

const buildRule = (rule: Document.Rule, limits: Document.Limits): Compiled.Rule => {
  const effectiveTimeouts = { ...defaultTimeouts, ...rule.timeouts };
  return {
    name: rule.name,
    match: rule.match,
    pathPrefix: rule.match.path.endsWith('/*') ? rule.match.path.slice(0, -1) : undefined,
    steps: [
      { groups: rule.groups, model: undefined },
      ...(rule.fallback ?? []).map((step) => ({ groups: step.groups, model: step.model })),
    ],
    isOnce: rule.runs === 'once',
    isResumable: rule.runs === 'resumable',
    weights: rule.weights,
    aim: rule.aim,
    gap: rule.gap,
    priority: rule.priority,
    homeRegions: rule.home?.regions,
    homeHeader: rule.home?.header,
    spill: rule.spill ?? [],
    hops: rule.hops ?? 3,
    timeouts: effectiveTimeouts,
    bounds: { ...effectiveTimeouts, ...rule.bounds },
    retry: {
      on: new Set(
        rule.retry?.retry_on ?? [
          'connect-failure',
          'refused-stream',
          'reset',
          'gateway-error',
          'retriable-status-codes',
        ],
      ),
      codes: new Set(rule.retry?.codes ?? [429]),
      maxRetries: rule.retry?.count ?? 2,
      baseBackoffMs: rule.retry?.base ?? 25,
      maxBackoffMs: rule.retry?.max ?? 1000,
    },
    hasAffinity: rule.affinity ?? true,
    needsKey: rule.needs_key ?? false,
    usesSharedWall: rule.wall === 'shared',
    maxBodyBytes: Math.min(
      rule.body ?? limits.body_bytes ?? defaultMaxBodyBytes,
      limits.body_bytes ?? highestMaxBodyBytes,
    ),
    teams: rule.teams,
  };
};

const noLimits: Document.Limits = {};
const ruleCache = new WeakMap<Document.Rule, { limits: Document.Limits; compiled: Compiled.Rule }>();
const addressCache = new WeakMap<Document.Server, Address | undefined>();

/** Compiles a rule, or returns the cached result: rules that a change does not touch remain the same objects. */
const compileRule = (rule: Document.Rule, limits: Document.Limits): Compiled.Rule => {
  const cached = ruleCache.get(rule);
  if (cached?.limits === limits) return cached.compiled;
  const compiled = buildRule(rule, limits);
  ruleCache.set(rule, { limits, compiled });
  return compiled;
};

/** The parsed address of a server, cached like rules. */
const addressOf = (server: Document.Server): Address | undefined => {
  if (!addressCache.has(server)) addressCache.set(server, Addresses.parse(server.address));
  return addressCache.get(server);
};

type TeamIndex = {
  /** The teams by the SHA-256 of their keys. */
  readonly byKey: ReadonlyMap<string, Compiled.Team>;
  readonly anonymous: Compiled.Team | undefined;
};
const teamIndexCache = new WeakMap<Document['teams'], TeamIndex>();

/** The teams by key, cached like rules: a change of the server list does not rebuild them. */
const indexTeams = (teams: Document['teams']): TeamIndex => {
  const cached = teamIndexCache.get(teams);
  if (cached) return cached;
  const byKey = new Map<string, Compiled.Team>();
  let anonymous: Compiled.Team | undefined;
  for (const [name, { keys, home, homes, quota, open, priority }] of Object.entries(teams)) {
    const team = { name: name as Id.Team, home, homes, quota, priority };
    for (const key of keys) byKey.set(key, team);
    if (open) anonymous = team;
  }
  const index = { byKey, anonymous };
  teamIndexCache.set(teams, index);
  return index;
};

const compileGroup = (
  name: string,
  group: Document.Group,
  servers: readonly Compiled.Server[],
  walls: Document.Walls | undefined,
): Compiled.Group => ({
  name: name as Id.Group,
  kind: group.kind,
  models: group.models ?? [],
  regions: group.regions,
  identity: group.identity ?? { path: '/v1/models' },
  proof: group.proof,
  echo: group.echo,
  warmup: group.warmup,
  connections: group.connections,
  memory: group.memory,
  wall: walls && Wall.mechanismOf(walls, group),
  isNotRun: (status, headers) =>
    (group.not_run ?? []).some(
      (condition) =>
        condition.status === status &&
        (condition.header === undefined ||
          (condition.is === undefined
            ? headers[condition.header] !== undefined
            : headers[condition.header] === condition.is)),
    ),
  concurrent: group.concurrent ?? 64,
  ejection: {
    consecutive: group.ejection?.consecutive_5xx ?? 5,
    base: group.ejection?.base_ejection_time ?? 5000,
    percent: group.ejection?.max_ejection_percent ?? 50,
  },
  servers,
});

/** Compiles manifests. */
export const Compiled = {
  /** Compiles a view; undefined if it has no manifest. Servers that contradict the manifest are left out. */
  of(view: View): Compiled | undefined {
    const document = view.manifest?.document;
    if (!document) return undefined;
    const evacuated = new Set<string>(document.evacuations ?? []);
    const leaving = new Set<string>(view.platform.leaving);
    const servers = new Map<string, Compiled.Server>();
    for (const server of view.platform.servers) {
      const group = document.groups[server.group];
      const address = addressOf(server);
      if (!group?.regions.includes(server.region) || !address) continue;
      if (document.zones[server.zone]?.region !== server.region) continue;
      const isOpen =
        !leaving.has(server.instance) && server.isLeaving !== true && !evacuated.has(server.zone);
      const { slots, warming = 0 } = server;
      servers.set(server.instance, { ...server, address, isOpen, slots, warming });
    }
    const groups = new Map<string, Compiled.Group>();
    for (const [name, group] of Object.entries(document.groups))
      groups.set(
        name,
        compileGroup(
          name,
          group,
          [...servers.values()].filter((server) => server.group === name),
          document.walls,
        ),
      );
    const { byKey, anonymous } = indexTeams(document.teams);
    const { zones } = document;
    return {
      stamp: view.stamp,
      rules: document.rules.map((rule) => compileRule(rule, document.limits ?? noLimits)),
      groups,
      servers,
      homes: new Map(Object.entries(document.homes).map(([name, home]) => [name, home.regions])),
      isEvacuated: (zone) => evacuated.has(zone),
      regionOf: (zone) => zones[zone]?.region,
      regions: [...new Set(Object.values(zones).map((zone) => zone.region))],
      limits: document.limits ?? {},
      walls: Wall.of(document),
      hasKeys: byKey.size > 0,
      anonymousTeam: anonymous,
      findTeamByKey: (key) => byKey.get(createHash('sha256').update(key).digest('hex')),
    };
  },
};
