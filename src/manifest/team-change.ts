/**
 * What a change of the manifest does to teams, in words for the audit log: teams, keys and quotas that come, go or change.
 * Keys are counted and never shown.
 */
import type { Document } from './document.js';

/** The teams that a change affects, with a line for each. */
export type TeamChange = { readonly teams: readonly string[]; readonly lines: readonly string[] };

type Team = Document['teams'][string];

const describeQuota = ({ quota }: Team): string => {
  if (!quota) return 'no quota';
  const parts = [
    ...(quota.requests === undefined ? [] : [`${quota.requests} requests`]),
    ...(quota.prompt === undefined ? [] : [`${quota.prompt} prompt`]),
  ];
  return `${parts.join(' and ')} in ${quota.span} ms`;
};

const countMissing = (keys: readonly string[], from: readonly string[]): number => {
  const known = new Set(from);
  return keys.filter((key) => !known.has(key)).length;
};

const describeTeam = (name: string, before: Team | undefined, after: Team | undefined): string[] => {
  if (before === after || (!before && !after)) return [];
  if (!before) return [`team ${name} added: ${after!.keys.length} keys, ${describeQuota(after!)}`];
  if (!after) return [`team ${name} removed: ${before.keys.length} keys`];
  const added = countMissing(after.keys, before.keys);
  const removed = countMissing(before.keys, after.keys);
  const [quotaBefore, quotaAfter] = [describeQuota(before), describeQuota(after)];
  const changes = [
    ...(added + removed > 0 ? [`${added} keys added, ${removed} removed`] : []),
    ...(quotaBefore === quotaAfter ? [] : [`${quotaAfter} instead of ${quotaBefore}`]),
  ];
  return changes.length > 0 ? [`team ${name}: ${changes.join('; ')}`] : [];
};

/** Compares the teams of two manifests. */
export const TeamChange = {
  of(before: Document | undefined, after: Document): TeamChange {
    const [old, next] = [before?.teams ?? {}, after.teams];
    const names = [...new Set([...Object.keys(old), ...Object.keys(next)])];
    const changes = names.map((name) => ({ name, lines: describeTeam(name, old[name], next[name]) }));
    const affected = changes.filter(({ lines }) => lines.length > 0);
    return { teams: affected.map(({ name }) => name), lines: affected.flatMap(({ lines }) => lines) };
  },
};
