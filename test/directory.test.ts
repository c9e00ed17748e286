/**
 * Which proxies the directory names. Guards against a region whose proxies are restarted one after the other: once the last of
 * them drained and the first was not back, clients were led to other regions, which their requests may not enter (HOME).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ReadDirectory } from '../src/control/queries/read-directory.js';
import { MemberTable } from '../src/membership/member-table.js';
import type { Frame } from '../src/wire/frame.js';

const regions: Readonly<Record<string, string>> = { 'a-1': 'a', 'a-2': 'a', 'b-1': 'b' };

const entry = (node: string, zone: string, counter: number, ready: boolean, boot = 'first'): Frame.Entry => ({
  node,
  program: 'proxy',
  zone,
  boot,
  stamp: { epoch: 1, revision: 1 } as Frame.Entry['stamp'],
  http: `${node}:80`,
  wire: '',
  via: '',
  counter,
  age: 0,
  ready,
  ops: '',
  depth: 2,
  vouched: true,
});

describe('the directory', () => {
  const start = () => {
    const roll = MemberTable.of(() => ({ ...entry('core', 'a-1', 1, true), program: 'control' }));
    const find = (zone: string, namesDrainingMs: number) =>
      ReadDirectory.find(
        { roll, isReady: () => true, regionOf: (one) => regions[one], namesDrainingMs },
        zone,
      )
        ?.map(({ node }) => node)
        .sort();
    const hear = (...entries: Frame.Entry[]) => roll.update(entries, 'below', true);
    return { find, hear };
  };

  it('names a draining proxy of a region that has no ready one', () => {
    const { find, hear } = start();
    hear(entry('a1', 'a-1', 1, true), entry('a2', 'a-2', 1, true), entry('b1', 'b-1', 1, true));
    assert.deepEqual(find('a-1', 1000), ['a1']);
    hear(entry('a1', 'a-1', 2, false));
    assert.deepEqual(find('a-1', 1000), ['a2']);
    hear(entry('a2', 'a-2', 2, false));
    assert.deepEqual(find('a-1', 1000), ['a1', 'a2']);
    assert.deepEqual(find('b-1', 1000), ['b1']);
  });

  it('names proxies of other regions where draining ones may not be named', () => {
    const { find, hear } = start();
    hear(entry('a1', 'a-1', 1, true), entry('b1', 'b-1', 1, true));
    hear(entry('a1', 'a-1', 2, false));
    assert.deepEqual(find('a-1', 0), ['b1']);
  });

  it('names no proxy that has just started and is not ready yet', () => {
    const { find, hear } = start();
    hear(entry('a1', 'a-1', 1, true), entry('b1', 'b-1', 1, true));
    hear(entry('a1', 'a-1', 1, false, 'second'));
    assert.deepEqual(find('a-1', 1000), ['b1']);
  });
});
