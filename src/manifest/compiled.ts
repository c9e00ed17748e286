// A compiled manifest answers what the request path asks: which team a key names, which rule matches,
// which steps a rule's chain has for a home, and which servers may run a step just now. Defaults are
// filled in here and nowhere else.
import { createHash } from 'node:crypto';
import { type Address, Address as Addresses } from '../common/address.js';
import type { Id } from '../common/id.js';
import type { Stamp } from '../common/stamp.js';
import type { Document } from './document.js';
import type { View } from './view.js';
import { Wall } from './wall.js';

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
  readonly anonymousTeam: Compiled.Team | undefined;
  readonly findTeamByKey: (key: string) => Compiled.Team | undefined;
};

export declare namespace Compiled {
  type Team = {
    readonly name: Id.Team;
    readonly home: Id.Home | undefined;
    readonly homes: readonly Id.Home[] | undefined;
    readonly quota: Document.Quota | undefined;
  };
  type Ejection = { readonly consecutive: number; readonly base: number; readonly percent: number };
  type Group = {
    readonly name: Id.Group;
    readonly kind: 'model' | 'plain';
    readonly models: readonly string[];
    readonly regions: readonly Id.Region[];
    readonly identity: Document.Identity;
    readonly proof: Document.Proof | undefined;
    /** The header in which its servers send back the id of the request that they answer. */
    readonly echo: string | undefined;
    readonly warmup: Document.Warmup | undefined;
    readonly connections: number | undefined;
    readonly memory: number | undefined;
    readonly wall: Wall.Mechanism | undefined;
    readonly isNotRun: (status: number, headers: Readonly<Record<string, unknown>>) => boolean;
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
    readonly isOpen: boolean;
    readonly slots: number | undefined;
    readonly warming: number;
  };
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
    /** What a path must begin with, where any path that does is taken. */
    readonly pathPrefix: string | undefined;
    readonly steps: readonly Step[];
    readonly isOnce: boolean;
    readonly isResumable: boolean;
    readonly weights: Readonly<Record<string, number>> | undefined;
    readonly aim: number | undefined;
    readonly gap: number | undefined;
    readonly priority: number | undefined;
    readonly homeRegions: readonly Id.Region[] | undefined;
    readonly homeHeader: string | undefined;
    readonly spill: readonly Id.Region[];
    readonly hops: number;
    readonly timeouts: Document.Timeouts;
    readonly bounds: Document.Timeouts;
    readonly retry: Retry;
    readonly hasAffinity: boolean;
    readonly usesSharedWall: boolean;
    readonly maxBodyBytes: number;
    readonly teams: readonly Id.Team[] | undefined;
  };
}

const timeouts: Document.Timeouts = {
  connect: 1000,
  first_byte: 20_000,
  per_try: 30_000,
  total: 60_000,
  idle: 15_000,
};

const longestBody = 4 * 1024 * 1024;
const longestOfAll = 64 * 1024 * 1024;

const compileRuleAnew = (rule: Document.Rule, limits: Document.Limits): Compiled.Rule => {
  const own = { ...timeouts, ...rule.timeouts };
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
    timeouts: own,
    bounds: { ...own, ...rule.bounds },
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
    usesSharedWall: rule.wall === 'shared',
    maxBodyBytes: Math.min(rule.body ?? limits.body_bytes ?? longestBody, limits.body_bytes ?? longestOfAll),
    teams: rule.teams,
  };
};

const noLimits: Document.Limits = {};
const rulesMade = new WeakMap<Document.Rule, { limits: Document.Limits; made: Compiled.Rule }>();
const addresses = new WeakMap<Document.Server, Address | undefined>();

/** Rules and servers that a change leaves alone are the same objects as before it, and are not made again. */
const compileRule = (rule: Document.Rule, limits: Document.Limits): Compiled.Rule => {
  const known = rulesMade.get(rule);
  if (known?.limits === limits) return known.made;
  const made = compileRuleAnew(rule, limits);
  rulesMade.set(rule, { limits, made });
  return made;
};

const addressOf = (server: Document.Server): Address | undefined => {
  if (!addresses.has(server)) addresses.set(server, Addresses.parse(server.address));
  return addresses.get(server);
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
      (one) =>
        one.status === status &&
        (one.header === undefined ||
          (one.is === undefined ? headers[one.header] !== undefined : headers[one.header] === one.is)),
    ),
  concurrent: group.concurrent ?? 64,
  ejection: {
    consecutive: group.ejection?.consecutive_5xx ?? 5,
    base: group.ejection?.base_ejection_time ?? 5000,
    percent: group.ejection?.max_ejection_percent ?? 50,
  },
  servers,
});

export const Compiled = {
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
          [...servers.values()].filter((one) => one.group === name),
          document.walls,
        ),
      );
    const teams = new Map<string, Compiled.Team>();
    let openTeam: Compiled.Team | undefined;
    for (const [name, { keys, home, homes, quota, open }] of Object.entries(document.teams)) {
      const team = { name: name as Id.Team, home, homes, quota };
      for (const key of keys) teams.set(key, team);
      if (open) openTeam = team;
    }
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
      anonymousTeam: openTeam,
      findTeamByKey: (key) => teams.get(createHash('sha256').update(key).digest('hex')),
    };
  },
};
