/**
 * Cache isolation (`walls`) in the manifest: findings with their places, rules for changes, derivation of salts, and the
 * separation by tenant of what a proxy records about the cache of a server.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Check } from '../src/manifest/check.js';
import type { Compiled } from '../src/manifest/compiled.js';
import type { Document } from '../src/manifest/document.js';
import { Wall } from '../src/manifest/wall.js';
import { WallChange } from '../src/manifest/wall-change.js';
import { InFlight } from '../src/upstream/in-flight.js';
import { Placement } from '../src/upstream/placement.js';
import { Bench } from './bench.js';

const { llm, small, plain } = Bench.manifest.groups;
const field = { by: 'field', name: 'cache_salt' };
const good = {
  ...Bench.manifest,
  groups: { llm: { ...llm, wall: field }, small: { ...small, wall: field }, plain },
  walls: { generation: 3, secret: 'ab'.repeat(32) },
} as unknown as Document;
const findingsOf = (more: object) => {
  const checked = Check.manifest({ ...good, ...more });
  return checked.kind === 'good' ? [] : checked.findings.map(({ place, text }) => `${place} ${text}`);
};
const withSmallGroup = (wall: object | undefined, more: object = {}) => ({
  groups: { ...good.groups, small: { ...small, ...(wall ? { wall } : {}) } },
  ...more,
});

describe('cache isolation in the manifest', () => {
  it('is validated, each finding at its place', () => {
    assert.deepEqual(findingsOf({}), []);
    const cases: readonly (readonly [object, RegExp])[] = [
      [withSmallGroup(undefined), /^\/groups\/small\/wall is missing/],
      [{ walls: undefined }, /^\/groups\/llm\/wall is of no use/],
      [withSmallGroup({ by: 'header' }), /^\/groups\/small\/wall\/name is missing/],
      [withSmallGroup({ by: 'none', name: 'x' }), /^\/groups\/small\/wall\/name is of no use/],
      [withSmallGroup({ ...field, for: 'testers' }), /^\/groups\/small\/wall\/for is of no use/],
      [withSmallGroup({ by: 'none', for: 'nobody' }), /^\/groups\/small\/wall\/for names no team/],
      [withSmallGroup({ by: 'guess' }), /^\/groups\/small\/wall\/by must be one of/],
      [{ walls: { generation: 0 } }, /^\/walls\/generation must be at least 1/],
      [{ walls: { generation: 1, secret: 'short' } }, /^\/walls\/secret must be 32 bytes/],
      [
        { walls: { generation: 1, owners: { o: { teams: ['ghost'] } } } },
        /^\/walls\/owners\/o\/teams\/0 names no/,
      ],
      [{ walls: { generation: 1, owners: { others: { teams: ['testers'] } } } }, /is the name of a team/],
      [
        { walls: { generation: 1, owners: { o: { teams: ['testers'] }, p: { teams: ['testers'] } } } },
        /^\/walls\/owners\/p\/teams\/0 is already behind the wall of o/,
      ],
      [
        withSmallGroup(
          { by: 'none', for: 'testers' },
          { walls: { generation: 1, owners: { o: { teams: ['testers'] } } } },
        ),
        /^\/groups\/small\/wall\/for is behind the wall of o/,
      ],
    ];
    for (const [more, expected] of cases) assert.match(findingsOf(more)[0] ?? 'no finding', expected);
    const shared = [{ ...good.rules[0], wall: 'shared' }];
    assert.match(
      findingsOf({ ...Bench.manifest, walls: undefined, rules: shared }).join(),
      /\/rules\/0\/wall is of no use without \/walls/,
    );
  });

  const generateSecret = () => 'cd'.repeat(32);
  const change = (before: Document[], after: Document) => WallChange.of(before, after, generateSecret);
  const walled = (walls: object | undefined, more: object = {}) =>
    ({ ...good, ...more, walls }) as unknown as Document;

  it('keeps its secret, generates a missing one, and generates a new one on request', () => {
    const kept = change([good], walled({ generation: 3 }));
    assert.equal(kept.kind === 'good' && kept.document.walls?.secret, good.walls?.secret);
    const made = change([], walled({ generation: 1 }));
    assert.equal(made.kind === 'good' && made.document.walls?.secret, generateSecret());
    const renewed = change([good], walled({ generation: 4, secret: 'new' }));
    assert.equal(renewed.kind === 'good' && renewed.document.walls?.secret, generateSecret());
    assert.equal(change([good], walled({ generation: 3, secret: 'new' })).kind, 'bad');
    assert.equal(change([good], walled({ generation: 2 })).kind, 'bad');
  });
  it('is described for the audit log without the secret', () => {
    const changed = change(
      [good],
      walled({ generation: 4, secret: 'new', owners: { o: { teams: ['testers'] } } }),
    );
    assert.ok(changed.kind === 'good');
    assert.match(changed.what, /^walls of generation 4, o of testers, .*, with a new secret$/);
    assert.equal(changed.what.includes(generateSecret()), false);
    const gone = change([good], walled(undefined));
    assert.equal(gone.kind === 'good' && gone.what, 'no walls');
    const same = change([good], good);
    assert.equal(same.kind === 'good' && same.what, '');
  });
  it('assigns servers without isolation to a tenant only if no one else has used the group', () => {
    const alone = (team: string) =>
      ({ ...good, ...withSmallGroup({ by: 'none', for: team }) }) as unknown as Document;
    assert.equal(change([good], alone('testers')).kind, 'bad');
    const { small: _small, ...without } = good.groups;
    const before = { ...good, groups: without } as unknown as Document;
    assert.equal(change([before], alone('testers')).kind, 'good');
    assert.equal(change([before, alone('testers')], alone('testers')).kind, 'good');
    assert.equal(change([alone('others'), before], alone('testers')).kind, 'bad');
  });
  it('derives salts that differ by tenant, generation, secret and teams of an owner', () => {
    const saltOf = (walls: object, team = 'testers') =>
      Wall.of(walled({ secret: generateSecret(), generation: 1, ...walls }))!.of(team as never)!.salt;
    const salts = [
      saltOf({}),
      saltOf({}, 'others'),
      saltOf({ generation: 2 }),
      saltOf({ secret: 'ef'.repeat(32) }),
      saltOf({ owners: { o: { teams: ['testers'] } } }),
      saltOf({ owners: { o: { teams: ['testers', 'others'] } } }),
      Wall.of(walled({ secret: generateSecret(), generation: 1 }))!.shared()!.salt,
    ];
    assert.equal(new Set(salts).size, salts.length);
    assert.equal(saltOf({}), salts[0]);
    const both = { owners: { o: { teams: ['others', 'testers'] } } };
    assert.equal(saltOf(both), saltOf(both, 'others'));
    assert.equal(saltOf(both), salts[5]);
    assert.equal(Wall.of(walled({ generation: 1 }))!.of('testers' as never), undefined);
  });
  it('refuses requests or servers whose isolation is unknown', () => {
    const wall = Wall.of(good)!.of('testers' as never)!;
    const mechanism = { kind: 'field', name: 'cache_salt' } as const;
    assert.equal(Wall.isAllowed(undefined, undefined, true), true);
    assert.equal(Wall.isAllowed(undefined, mechanism, false), false);
    assert.equal(Wall.isAllowed(wall, undefined, false), false);
    assert.equal(Wall.isAllowed(wall, mechanism, false), true);
    assert.equal(Wall.isAllowed(wall, mechanism, true), false);
    assert.equal(Wall.isAllowed(wall, { kind: 'header', name: 'x' }, true), true);
    assert.equal(Wall.isAllowed(wall, { kind: 'refused' }, false), false);
    assert.equal(Wall.isAllowed(wall, { kind: 'alone', wall: 'team others' }, false), false);
    assert.equal(Wall.isAllowed(wall, { kind: 'alone', wall: 'team testers' }, false), true);
  });
});

describe('cache contents that a proxy records for a server', () => {
  const server = { instance: 'a1', region: 'a', group: 'llm' } as unknown as Compiled.Server;
  const group = { name: 'llm', memory: 1000 } as unknown as Compiled.Group;
  const want = (wall: string, key: string, tokens: number) => ({
    ...{ wall, tokens: 0, bytes: 0, aim: 1000, gap: 1000 },
    parts: [
      { key, tokens },
      { key: 'own', tokens: 10 },
    ],
  });
  it('are separate for each tenant, and one tenant does not evict those of another', () => {
    const placement = Placement.of({
      region: () => 'a',
      zone: 'a-1',
      inFlight: InFlight.of(),
      hasIdle: () => true,
      random: () => 0,
    });
    const send = (wall: string, key: string, tokens: number) =>
      placement.recordSent(server, group, want(wall, key, tokens)).uncached;
    assert.equal(send('one', 'leaflet', 200), 210);
    assert.equal(send('one', 'leaflet', 200), 10);
    assert.equal(send('two', 'leaflet', 200), 210);
    for (let count = 0; count < 50; count += 1) send('two', `flood-${count}`, 100);
    assert.equal(send('one', 'leaflet', 200), 10);
    assert.equal(send('two', 'leaflet', 200), 210);
  });
});
