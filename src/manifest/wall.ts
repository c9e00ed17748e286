/**
 * Cache isolation of tenants, called walls in the manifest. A wall is a name with a generation, sent to model servers as a
 * salt for their prompt caches. The salt is derived by HKDF from the manifest's secret alone, so that all nodes compute
 * the same one without coordination. The teams of an owner are part of the derivation input: a team that joins later
 * must not match prompts that were cached before.
 */
import { createHash, hkdfSync } from 'node:crypto';
import type { Id } from '../common/id.js';
import type { Document } from './document.js';

/** The cache isolation of one tenant. */
export type Wall = { readonly name: string; readonly generation: number; readonly salt: string };

/** How isolation is looked up and applied. */
export declare namespace Wall {
  /**
   * How the servers of a group isolate tenants: by a salt in a body field or a header, or (`alone`) by serving one tenant
   * only. Servers that are `open` cache no prompts; `refused` ones cannot isolate tenants.
   */
  type Mechanism =
    | { readonly kind: 'field' | 'header'; readonly name: string }
    | { readonly kind: 'alone'; readonly wall: string }
    | { readonly kind: 'refused' }
    | { readonly kind: 'open' };
  /** The walls of a manifest, and all body fields and headers that carry a salt in some group. */
  type Walls = {
    readonly of: (team: Id.Team) => Wall | undefined;
    readonly shared: () => Wall | undefined;
    readonly fields: ReadonlySet<string>;
    readonly headers: ReadonlySet<string>;
  };
}

/** The body field or header that carries the salt if the group does not name one. */
const defaultSaltName = 'cache_salt';
const saltBytes = 32;

/** The wall name of a team: that of its owner, or its own. */
const nameOfTeam = (walls: Document.Walls, team: string): string => {
  const owner = Object.entries(walls.owners ?? {}).find(([, entry]) =>
    entry.teams.some((one) => one === team),
  );
  return owner ? `owner ${owner[0]} of ${[...owner[1].teams].sort().join(' ')}` : `team ${team}`;
};

/** The wall name of a tenant, which is an owner or a team. */
const nameFor = (walls: Document.Walls, tenant: string): string => {
  const [first] = walls.owners?.[tenant]?.teams ?? [];
  return nameOfTeam(walls, first ?? tenant);
};

/** Derives the wall of a name; undefined while the manifest has no secret. */
const derive = ({ secret, generation }: Document.Walls, name: string): Wall | undefined => {
  if (secret === undefined) return undefined;
  const info = `bramblebend wall\0${generation}\0${name}`;
  const bytes = hkdfSync('sha256', Buffer.from(secret, 'hex'), Buffer.alloc(0), info, saltBytes);
  return { name, generation, salt: Buffer.from(bytes).toString('base64url') };
};

/** How the servers of a group isolate tenants. */
const mechanismOf = (walls: Document.Walls, { kind, wall }: Document.Group): Wall.Mechanism => {
  if (!wall) return { kind: kind === 'plain' ? 'open' : 'refused' };
  if (wall.by !== 'none') return { kind: wall.by, name: wall.name ?? defaultSaltName };
  return wall.for === undefined ? { kind: 'refused' } : { kind: 'alone', wall: nameFor(walls, wall.for) };
};

/** Derives walls and applies them. */
export const Wall = {
  nameFor,
  mechanismOf,
  /** The walls of a manifest, or undefined if it configures no isolation. */
  of(document: Document): Wall.Walls | undefined {
    const { walls } = document;
    if (!walls) return undefined;
    const cache = new Map<string, Wall | undefined>();
    const find = (name: string) => {
      if (!cache.has(name)) cache.set(name, derive(walls, name));
      return cache.get(name);
    };
    const declared = Object.values(document.groups).flatMap(({ wall }) => (wall ? [wall] : []));
    const namesFor = (by: string) =>
      declared.flatMap((wall) => (wall.by === by && wall.name ? [wall.name] : []));
    return {
      of: (team) => find(nameOfTeam(walls, team)),
      shared: () => find('shared by all'),
      fields: new Set([defaultSaltName, ...namesFor('field')]),
      headers: new Set(namesFor('header')),
    };
  },
  /**
   * Whether a request may be sent to servers with this mechanism; always, if the manifest configures no isolation. It is
   * refused if the isolation of the request or of
   * the servers is unknown, or if the salt would have to be added to a body that is not a JSON object.
   */
  isAllowed(wall: Wall | undefined, mechanism: Wall.Mechanism | undefined, hasOpaqueBody: boolean): boolean {
    if (!wall || !mechanism) return wall === mechanism;
    if (mechanism.kind === 'alone') return mechanism.wall === wall.name;
    return (
      mechanism.kind === 'open' ||
      mechanism.kind === 'header' ||
      (mechanism.kind === 'field' && !hasOpaqueBody)
    );
  },
  /** Scopes a key of the proxy's own state, such as a prompt prefix, to the wall. */
  key: (wall: Wall | undefined, key: string): string =>
    wall ? createHash('sha256').update(`${wall.salt}\0${key}`).digest('base64url') : key,
};
