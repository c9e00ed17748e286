// What a change of the manifest may do to the walls. A secret that is not told is the one in force, or is made;
// "new" makes one. Generations only rise, and rise with each new secret. A group whose servers keep no walls may
// be given to one tenant only as long as no kept manifest had it otherwise: its servers may hold others' work.
import { Guard } from '../common/guard.js';
import type { Document } from './document.js';
import { Wall } from './wall.js';

export type WallChange =
  | { readonly kind: 'good'; readonly document: Document; readonly what: string }
  | { readonly kind: 'bad'; readonly findings: readonly Guard.Finding[] };

export declare namespace WallChange {
  /** The documents that are kept, the newest last. */
  type History = {
    readonly at: (index: number) => Document | undefined;
    readonly some: (is: (document: Document) => boolean) => boolean;
  };
}

const tell = (before: Document | undefined, after: Document): string => {
  const describe = (document: Document | undefined) => {
    if (!document?.walls) return 'no walls';
    const { generation, owners = {} } = document.walls;
    const named = Object.entries(owners).map(([name, { teams }]) => `, ${name} of ${teams.join(' ')}`);
    const shared = document.rules.flatMap((rule) => (rule.wall === 'shared' ? [rule.name] : []));
    const ways = Object.entries(document.groups).flatMap(([name, { wall }]) =>
      wall ? [`, ${name} by ${wall.by}${wall.for === undefined ? '' : ` for ${wall.for}`}`] : [],
    );
    return `walls of generation ${generation}${named.join('')}${ways.join('')}${shared.length > 0 ? `, shared in ${shared.join(' ')}` : ''}`;
  };
  const isNewSecret = before?.walls && after.walls && before.walls.secret !== after.walls.secret;
  const [then, now] = [describe(before), describe(after)];
  return then === now && !isNewSecret ? '' : `${now}${isNewSecret ? ', with a new secret' : ''}`;
};

const resolveSecret = (
  before: Document.Walls | undefined,
  after: Document.Walls,
  make: () => string,
): string => {
  if (after.secret === 'new') return make();
  return after.secret ?? before?.secret ?? make();
};

export const WallChange = {
  of(kept: WallChange.History, after: Document, make: () => string): WallChange {
    const before = kept.at(-1);
    const { walls } = after;
    if (!walls) return { kind: 'good', document: after, what: tell(before, after) };
    const findings: Guard.Finding[] = [];
    const secret = resolveSecret(before?.walls, walls, make);
    const resolved = { ...walls, secret };
    const last = before?.walls;
    if (last && walls.generation < last.generation)
      Guard.report(findings, '/walls/generation', `must not fall below ${last.generation}`);
    if (last && last.secret !== secret && walls.generation <= last.generation)
      Guard.report(findings, '/walls/generation', `must rise above ${last.generation} with a new secret`);
    for (const [name, group] of Object.entries(after.groups)) {
      const way = Wall.mechanismOf(resolved, group);
      if (way.kind !== 'alone') continue;
      const isOther = (document: Document) => {
        const known = document.groups[name];
        if (!known) return false;
        const earlier = document.walls && Wall.mechanismOf(document.walls, known);
        return earlier?.kind !== 'alone' || earlier.wall !== way.wall;
      };
      if (kept.some(isOther))
        Guard.report(
          findings,
          `/groups/${name}/wall`,
          'servers of this group may hold work of others; name a new group',
        );
    }
    if (findings.length > 0) return { kind: 'bad', findings };
    const document = { ...after, walls: resolved };
    return { kind: 'good', document, what: tell(before, document) };
  },
};
