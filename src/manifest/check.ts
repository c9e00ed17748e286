/**
 * Validates manifests and server lists: first the schema, then that every referenced name is defined and that the parts
 * do not contradict each other. All findings are reported together, each with its JSON pointer.
 */
import { Guard } from '../common/guard.js';
import { Document } from './document.js';

type IsDefined = (name: string) => boolean;

/** The result of validating a manifest. */
export type Check =
  | { readonly kind: 'good'; readonly document: Document }
  | { readonly kind: 'bad'; readonly findings: readonly Guard.Finding[] };

/** Reports names that are not defined or occur twice. `what` is the kind of name, for the message. */
const checkNames = (
  names: readonly string[] | undefined,
  place: string,
  isDefined: IsDefined,
  what: string,
  findings: Guard.Finding[],
) =>
  names?.forEach((name, index) => {
    if (!isDefined(name)) Guard.report(findings, `${place}/${index}`, `names no ${what}: ${name}`);
    if (names.indexOf(name) !== index) Guard.report(findings, `${place}/${index}`, `is named twice: ${name}`);
  });

const checkGroups = (document: Document, isRegion: IsDefined, findings: Guard.Finding[]) => {
  for (const [name, group] of Object.entries(document.groups)) {
    const place = `/groups/${name}`;
    checkNames(group.regions, `${place}/regions`, isRegion, 'region of any zone', findings);
    if (group.kind === 'model' && !group.models)
      Guard.report(findings, `${place}/models`, 'is missing for a group of kind model');
    if (group.kind === 'plain' && !group.identity?.service && !group.proof)
      Guard.report(findings, `${place}/identity/service`, 'is missing for a group of kind plain');
    for (const [field, location] of [
      ['service/at', group.identity?.service?.at],
      ['instance', group.identity?.instance],
    ] as const)
      if (location && (location.header === undefined) === (location.pointer === undefined))
        Guard.report(findings, `${place}/identity/${field}`, 'must name one of header and pointer');
  }
};

const checkTeams = (document: Document, findings: Guard.Finding[]) => {
  const isHome: IsDefined = (name) => Object.hasOwn(document.homes, name);
  const owners = new Map<string, string>();
  for (const [name, team] of Object.entries(document.teams)) {
    const place = `/teams/${name}`;
    checkNames(team.homes, `${place}/homes`, isHome, 'home', findings);
    if (team.home !== undefined && !isHome(team.home))
      Guard.report(findings, `${place}/home`, `names no home: ${team.home}`);
    else if (team.home !== undefined && team.homes && !team.homes.includes(team.home))
      Guard.report(findings, `${place}/home`, 'is not among the homes of the team');
    team.keys.forEach((key, index) => {
      const owner = owners.get(key);
      if (owner !== undefined)
        Guard.report(findings, `${place}/keys/${index}`, `is already a key of ${owner}`);
      owners.set(key, name);
    });
  }
};

const checkWeights = (rule: Document.Rule, place: string, findings: Guard.Finding[]) => {
  if (rule.weights === undefined) return;
  for (const name of Object.keys(rule.weights))
    if (!rule.groups.some((group) => group === name))
      Guard.report(findings, `${place}/weights/${name}`, 'is no group of this rule');
  const sum = rule.groups.reduce((total, group) => total + (rule.weights?.[group] ?? 0), 0);
  if (sum <= 0) Guard.report(findings, `${place}/weights`, 'must sum to more than 0');
};

const checkRule = (document: Document, rule: Document.Rule, place: string, findings: Guard.Finding[]) => {
  const isGroup: IsDefined = (name) => Object.hasOwn(document.groups, name);
  const isRegion: IsDefined = (name) => Object.values(document.zones).some((zone) => zone.region === name);
  checkNames(rule.groups, `${place}/groups`, isGroup, 'group', findings);
  checkNames(rule.spill, `${place}/spill`, isRegion, 'region of any zone', findings);
  checkNames(rule.home?.regions, `${place}/home/regions`, isRegion, 'region of any zone', findings);
  checkWeights(rule, place, findings);
  checkNames(rule.teams, `${place}/teams`, (name) => Object.hasOwn(document.teams, name), 'team', findings);
  const steps = [
    { groups: rule.groups, model: undefined, pointer: `${place}/groups` },
    ...(rule.fallback ?? []).map((step, index) => ({
      groups: step.groups,
      model: step.model,
      pointer: `${place}/fallback/${index}/groups`,
    })),
  ];
  for (const step of steps.slice(1)) checkNames(step.groups, step.pointer, isGroup, 'group', findings);
  for (const { groups, model, pointer } of steps)
    groups.forEach((name, index) => {
      const group = document.groups[name];
      const requiredModels = model !== undefined ? [model] : (rule.match.models ?? []);
      for (const required of requiredModels)
        if (group && !group.models?.includes(required) && !group.adapters?.includes(required))
          Guard.report(findings, `${pointer}/${index}`, `the group ${name} does not serve ${required}`);
    });
  for (const [name, bound] of Object.entries(rule.bounds ?? {}))
    if (bound < (rule.timeouts?.[name as keyof Document.Timeouts] ?? 0))
      Guard.report(findings, `${place}/bounds/${name}`, 'is below the timeout of the rule itself');
};

/** Checks the cache isolation (`walls`) of tenants and of each server group. */
const checkWalls = (document: Document, findings: Guard.Finding[]) => {
  const { walls } = document;
  const isTeam: IsDefined = (name) => Object.hasOwn(document.teams, name);
  const ownerOfTeam = new Map<string, string>();
  for (const [name, { teams }] of Object.entries(walls?.owners ?? {})) {
    const place = `/walls/owners/${name}`;
    if (isTeam(name)) Guard.report(findings, place, 'is the name of a team');
    checkNames(teams, `${place}/teams`, isTeam, 'team', findings);
    teams.forEach((team, index) => {
      const other = ownerOfTeam.get(team);
      if (other !== undefined && other !== name)
        Guard.report(findings, `${place}/teams/${index}`, `is already behind the wall of ${other}`);
      ownerOfTeam.set(team, name);
    });
  }
  for (const [name, { kind, wall }] of Object.entries(document.groups)) {
    const place = `/groups/${name}/wall`;
    if (!wall && walls && kind === 'model')
      Guard.report(findings, place, 'is missing: say how its servers keep walls, or that they keep none');
    if (wall && !walls) Guard.report(findings, place, 'is of no use without /walls');
    if (!wall || !walls) continue;
    if (wall.by === 'header' && wall.name === undefined)
      Guard.report(findings, `${place}/name`, 'is missing for a wall by header');
    if (wall.by === 'none' && wall.name !== undefined)
      Guard.report(findings, `${place}/name`, 'is of no use for servers that keep no walls');
    if (wall.by !== 'none' && wall.for !== undefined)
      Guard.report(findings, `${place}/for`, 'is of no use for servers that keep walls');
    if (wall.for !== undefined && ownerOfTeam.has(wall.for))
      Guard.report(findings, `${place}/for`, `is behind the wall of ${ownerOfTeam.get(wall.for)}: name that`);
    else if (wall.for !== undefined && !isTeam(wall.for) && !Object.hasOwn(walls.owners ?? {}, wall.for))
      Guard.report(findings, `${place}/for`, `names no team and no owner: ${wall.for}`);
  }
  document.rules.forEach((rule, index) => {
    if (rule.wall !== undefined && !walls)
      Guard.report(findings, `/rules/${index}/wall`, 'is of no use without /walls');
  });
};

/** Validates documents from outside the process. */
export const Check = {
  /** Validates a manifest. */
  manifest(value: unknown): Check {
    const findings: Guard.Finding[] = [];
    if (!Document.manifest(value, '', findings)) return { kind: 'bad', findings };
    const document = value;
    const isRegion: IsDefined = (name) => Object.values(document.zones).some((zone) => zone.region === name);
    checkGroups(document, isRegion, findings);
    for (const [name, home] of Object.entries(document.homes))
      checkNames(home.regions, `/homes/${name}/regions`, isRegion, 'region of any zone', findings);
    checkTeams(document, findings);
    checkWalls(document, findings);
    const names = document.rules.map((rule) => rule.name);
    checkNames(names, '/rules', () => true, 'rule', findings);
    document.rules.forEach((rule, index) => {
      checkRule(document, rule, `/rules/${index}`, findings);
    });
    checkNames(
      document.evacuations,
      '/evacuations',
      (name) => Object.hasOwn(document.zones, name),
      'zone',
      findings,
    );
    return findings.length > 0 ? { kind: 'bad', findings } : { kind: 'good', document };
  },
  /** Returns the server list, or the findings if it is invalid. */
  servers(value: unknown): Document.Servers | readonly Guard.Finding[] {
    const findings: Guard.Finding[] = [];
    if (!Document.servers(value, '', findings)) return findings;
    const seen = new Set<string>();
    value.servers.forEach((server, index) => {
      if (seen.has(server.instance))
        Guard.report(findings, `/servers/${index}/instance`, `is named twice: ${server.instance}`);
      seen.add(server.instance);
    });
    return findings.length > 0 ? findings : value;
  },
};
