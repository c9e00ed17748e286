/**
 * Rules for changing the cache isolation (`walls`) of a manifest. A manifest without a secret keeps the current one, or gets
 * a new one if there is none; the secret "new" always generates one. The generation never falls, and rises with each new
 * secret. A group whose servers cannot isolate tenants may be assigned to a tenant only if no earlier manifest that is
 * kept used the group otherwise, because its servers may still cache prompts of others.
 */
import { Guard } from '../common/guard.js';
import type { Document } from './document.js';
import { Wall } from './wall.js';

/** The manifest to store, with a description of the change for the audit log, or the reasons for refusing it. */
export type WallChange =
  | { readonly kind: 'good'; readonly document: Document; readonly what: string }
  | { readonly kind: 'bad'; readonly findings: readonly Guard.Finding[] };

/** Input of the check. */
export declare namespace WallChange {
  /** The manifests that are kept, the newest last. */
  type History = {
    readonly at: (index: number) => Document | undefined;
    readonly some: (is: (document: Document) => boolean) => boolean;
  };
}

/** Describes the isolation for the audit log, without the secret; empty if nothing has changed. */
const describeChange = (before: Document | undefined, after: Document): string => {
  const describe = (document: Document | undefined) => {
    if (!document?.walls) return 'no walls';
    const { generation, owners = {} } = document.walls;
    const ownerTexts = Object.entries(owners).map(([name, { teams }]) => `, ${name} of ${teams.join(' ')}`);
    const sharedRules = document.rules.flatMap((rule) => (rule.wall === 'shared' ? [rule.name] : []));
    const groupTexts = Object.entries(document.groups).flatMap(([name, { wall }]) =>
      wall ? [`, ${name} by ${wall.by}${wall.for === undefined ? '' : ` for ${wall.for}`}`] : [],
    );
    return `walls of generation ${generation}${ownerTexts.join('')}${groupTexts.join('')}${sharedRules.length > 0 ? `, shared in ${sharedRules.join(' ')}` : ''}`;
  };
  const isNewSecret = before?.walls && after.walls && before.walls.secret !== after.walls.secret;
  const [beforeText, afterText] = [describe(before), describe(after)];
  return beforeText === afterText && !isNewSecret
    ? ''
    : `${afterText}${isNewSecret ? ', with a new secret' : ''}`;
};

const resolveSecret = (
  before: Document.Walls | undefined,
  after: Document.Walls,
  generateSecret: () => string,
): string => {
  if (after.secret === 'new') return generateSecret();
  return after.secret ?? before?.secret ?? generateSecret();
};

/** Checks changes of the isolation. */
export const WallChange = {
  /** Checks the new manifest against the kept ones and fills in its secret. */
  of(history: WallChange.History, after: Document, generateSecret: () => string): WallChange {
    const before = history.at(-1);
    const { walls } = after;
    if (!walls) return { kind: 'good', document: after, what: describeChange(before, after) };
    const findings: Guard.Finding[] = [];
    const secret = resolveSecret(before?.walls, walls, generateSecret);
    const resolved = { ...walls, secret };
    const current = before?.walls;
    if (current && walls.generation < current.generation)
      Guard.report(findings, '/walls/generation', `must not fall below ${current.generation}`);
    if (current && current.secret !== secret && walls.generation <= current.generation)
      Guard.report(findings, '/walls/generation', `must rise above ${current.generation} with a new secret`);
    for (const [name, group] of Object.entries(after.groups)) {
      const mechanism = Wall.mechanismOf(resolved, group);
      if (mechanism.kind !== 'alone') continue;
      const wasUsedOtherwise = (document: Document) => {
        const earlierGroup = document.groups[name];
        if (!earlierGroup) return false;
        const earlier = document.walls && Wall.mechanismOf(document.walls, earlierGroup);
        return earlier?.kind !== 'alone' || earlier.wall !== mechanism.wall;
      };
      if (history.some(wasUsedOtherwise))
        Guard.report(
          findings,
          `/groups/${name}/wall`,
          'servers of this group may hold work of others; name a new group',
        );
    }
    if (findings.length > 0) return { kind: 'bad', findings };
    const document = { ...after, walls: resolved };
    return { kind: 'good', document, what: describeChange(before, document) };
  },
};
