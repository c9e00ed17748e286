// The wall around a tenant: its name, its generation, and the salt that stands for both on the wire to servers.
// The salt is derived by HKDF from the manifest's secret alone, so that all nodes have the same without talking.
// The teams of an owner are part of what is derived from, for who joins later must not find what was kept before.
import { createHash, hkdfSync } from 'node:crypto';
import type { Id } from '../common/id.js';
import type { Document } from './document.js';

export type Wall = { readonly name: string; readonly generation: number; readonly salt: string };

export declare namespace Wall {
  /** How servers of a group keep walls; "open" ones keep no prompts. */
  type Mechanism =
    | { readonly kind: 'field' | 'header'; readonly name: string }
    | { readonly kind: 'alone'; readonly wall: string }
    | { readonly kind: 'refused' }
    | { readonly kind: 'open' };
  type Walls = {
    readonly of: (team: Id.Team) => Wall | undefined;
    readonly shared: () => Wall | undefined;
    readonly fields: ReadonlySet<string>;
    readonly headers: ReadonlySet<string>;
  };
}

const published = 'cache_salt';
const length = 32;

const nameOf = (walls: Document.Walls, team: string): string => {
  const found = Object.entries(walls.owners ?? {}).find(([, owner]) =>
    owner.teams.some((one) => one === team),
  );
  return found ? `owner ${found[0]} of ${[...found[1].teams].sort().join(' ')}` : `team ${team}`;
};

const nameFor = (walls: Document.Walls, tenant: string): string => {
  const [first] = walls.owners?.[tenant]?.teams ?? [];
  return nameOf(walls, first ?? tenant);
};

const derive = ({ secret, generation }: Document.Walls, name: string): Wall | undefined => {
  if (secret === undefined) return undefined;
  const info = `bramblebend wall\0${generation}\0${name}`;
  const bytes = hkdfSync('sha256', Buffer.from(secret, 'hex'), Buffer.alloc(0), info, length);
  return { name, generation, salt: Buffer.from(bytes).toString('base64url') };
};

const mechanismOf = (walls: Document.Walls, { kind, wall }: Document.Group): Wall.Mechanism => {
  if (!wall) return { kind: kind === 'plain' ? 'open' : 'refused' };
  if (wall.by !== 'none') return { kind: wall.by, name: wall.name ?? published };
  return wall.for === undefined ? { kind: 'refused' } : { kind: 'alone', wall: nameFor(walls, wall.for) };
};

export const Wall = {
  nameFor,
  mechanismOf: mechanismOf,
  of(document: Document): Wall.Walls | undefined {
    const { walls } = document;
    if (!walls) return undefined;
    const known = new Map<string, Wall | undefined>();
    const find = (name: string) => {
      if (!known.has(name)) known.set(name, derive(walls, name));
      return known.get(name);
    };
    const ways = Object.values(document.groups).flatMap(({ wall }) => (wall ? [wall] : []));
    const named = (by: string) => ways.flatMap((one) => (one.by === by && one.name ? [one.name] : []));
    return {
      of: (team) => find(nameOf(walls, team)),
      shared: () => find('shared by all'),
      fields: new Set([published, ...named('field')]),
      headers: new Set(named('header')),
    };
  },
  /** Whether a request may go to servers that keep walls in this way; what can't be told is refused. */
  isAllowed(wall: Wall | undefined, way: Wall.Mechanism | undefined, hasForeignBody: boolean): boolean {
    if (!wall || !way) return wall === way;
    if (way.kind === 'alone') return way.wall === wall.name;
    return way.kind === 'open' || way.kind === 'header' || (way.kind === 'field' && !hasForeignBody);
  },
  /** A key of our own state, such as of a warm prefix, within the wall. */
  key: (wall: Wall | undefined, key: string): string =>
    wall ? createHash('sha256').update(`${wall.salt}\0${key}`).digest('base64url') : key,
};
