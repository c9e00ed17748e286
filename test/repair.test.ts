/**
 * Views compared by the digests of their ranges: only ranges that differ are sent, a patched view equals the intended
 * one, and a patch that cannot be applied is never taken.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Revision } from '../src/common/revision.js';
import { Stamp } from '../src/common/stamp.js';
import { Compiled } from '../src/manifest/compiled.js';
import { View } from '../src/manifest/view.js';
import { Feed } from '../src/news/feed.js';
import { Ranges } from '../src/repair/ranges.js';
import { ViewCache } from '../src/repair/view-cache.js';
import { Frame } from '../src/wire/frame.js';
import { Bench } from './bench.js';

const makeView = (revision: number, names: readonly string[], servers = 70): View => ({
  stamp: Stamp.of(3, revision),
  manifest: {
    revision: Revision.of(revision),
    epoch: Epoch.of(3),
    document: { ...Bench.manifest, rules: names.map((name) => ({ ...Bench.manifest.rules[0]!, name })) },
  },
  platform: {
    revision: Revision.of(2),
    epoch: Epoch.of(3),
    serial: 9,
    servers: Array.from({ length: servers }, (_none, index) => ({
      instance: `i${index}`,
      group: 'llm',
      address: '127.0.0.1:9',
      region: 'a',
      zone: 'a-1',
    })) as unknown as View.Platform['servers'],
    leaving: ['i4'],
  },
});

const names = Array.from({ length: 1000 }, (_none, index) => `rule-${index}`);
const before = makeView(5, names);
const held = Ranges.cut(before);
const patchTo = (after: View, digests = Ranges.digests(held)) => Ranges.patch(Ranges.cut(after), digests);
const rangeOf = (view: View, name: string) =>
  [...Ranges.cut(view)].find(([, { body }]) => body.includes(`"${name}"`))?.[0];
const withTeams = (view: View, teams: object): View =>
  ({
    ...view,
    manifest: { ...view.manifest, document: { ...view.manifest!.document, teams } },
  }) as unknown as View;
const bodies = (patch: Ranges.Patch) =>
  patch.ranges.filter(({ body }) => body !== '').map(({ name }) => name);

describe('repair', () => {
  it('lets a feed take only what is newer, by epoch first, and no empty view in place of a manifest', () => {
    const feed = Feed.of();
    assert.equal(feed.offer(makeView(5, ['a'])), true);
    for (const older of [
      makeView(5, ['b']),
      makeView(4, ['b']),
      { ...makeView(9, ['b']), stamp: Stamp.of(2, 9) },
    ])
      assert.equal(feed.offer(older), false);
    assert.equal(feed.offer({ ...makeView(6, []), manifest: null }), false);
    assert.deepEqual(feed.stamp(), Stamp.of(3, 5));
    assert.equal(feed.offer({ ...makeView(1, ['c']), stamp: Stamp.of(4, 1) }), true);
    assert.deepEqual(feed.stamp(), Stamp.of(4, 1));
  });

  it('sends only the ranges that differ, and mends to the very view that was meant', () => {
    const last = makeView(6, names.slice(0, 10));
    for (const [after, name] of [
      [makeView(6, names.with(700, 'changed')), 'changed'],
      [makeView(6, [...names, 'one-more']), 'one-more'],
      [makeView(6, names, 71), 'i70'],
      [last, 'rule-9'],
    ] as const) {
      const patch = patchTo(after);
      const wanted = [...Ranges.cut(after)].filter(
        ([, { digest }]) => !Ranges.digests(held).includes(digest),
      );
      assert.deepEqual(
        bodies(patch),
        wanted.map(([one]) => one),
      );
      assert.ok(bodies(patch).every((one) => ['meta', rangeOf(after, name)].includes(one)));
      assert.deepEqual(Ranges.applyPatch(held, patch), after);
      const whole = View.encode(after).length;
      const sent = patch.ranges.reduce((sum, { body }) => sum + body.length, 0);
      assert.ok(sent < whole / 3, `${sent} of ${whole} bytes`);
    }
  });
  it('sends one range for an entry put in front, taken out, or changed, in whatever list', () => {
    const teams = Object.fromEntries(names.map((name) => [name.replace('rule', 'team'), { keys: [name] }]));
    const first = withTeams(before, teams);
    const servers = first.platform.servers;
    const changed = [
      withTeams(makeView(6, ['put-in-front', ...names]), teams),
      withTeams(makeView(6, names.toSpliced(500, 1)), teams),
      withTeams(makeView(6, names), { ...teams, 'team-700': { keys: ['other'] } }),
      withTeams(makeView(6, names), { 'in-front': { keys: ['x'] }, ...teams }),
      withTeams({ ...before, platform: { ...before.platform, servers: servers.slice(1) } }, teams),
    ];
    for (const after of changed) {
      const patch = patchTo(after, Ranges.digests(Ranges.cut(first)));
      const lists = bodies(patch).filter((name) => name !== 'meta');
      assert.ok(lists.length <= 1, `${lists.join()} were sent`);
      const patched = Ranges.applyPatch(Ranges.cut(first), patch);
      assert.equal(
        JSON.stringify(Object.entries(patched.manifest!.document.teams)),
        JSON.stringify(Object.entries(after.manifest!.document.teams)),
      );
      assert.deepEqual(patched, after);
    }
  });
  it('names what the other copy holds in a row by one line, also where parts have the same content', () => {
    const same = (revision: number): View => {
      const view = makeView(revision, names);
      const document = { ...view.manifest!.document, one: [], two: [], three: [] };
      return { ...view, manifest: { ...view.manifest!, document } } as View;
    };
    const patch = patchTo(same(6), Ranges.digests(Ranges.cut(same(5))));
    assert.ok(patch.ranges.length <= 3, `${patch.ranges.length} lines`);
    assert.deepEqual(Ranges.applyPatch(Ranges.cut(same(5)), patch), same(6));
  });
  it('cuts and mends as earlier programs do where the other end is one', () => {
    const after = makeView(6, names.with(700, 'changed'));
    const earlier = Ranges.cut(before, 'position');
    const patch = Ranges.patch(Ranges.cut(after, 'position'), Ranges.digests(earlier), false);
    assert.deepEqual(bodies(patch), ['meta', 'rules/21']);
    assert.equal(patch.ranges.length, Ranges.cut(after, 'position').size);
    assert.deepEqual(Ranges.applyPatch(earlier, patch, 'position'), after);
    assert.throws(() => Ranges.applyPatch(held, patch), /is missing or its digest differs|different seal/);
  });
  it('keeps what a change leaves alone as the very objects they were, read once and compiled once', () => {
    const bare = before.manifest!.document.rules.map(({ body: _body, ...rule }) => rule);
    const plain = {
      ...before,
      manifest: { ...before.manifest!, document: { ...before.manifest!.document, rules: bare } },
    };
    const start = Ranges.applyPatch(Ranges.cut(View.empty), patchTo(plain as View, []));
    const after = { ...makeView(6, names, 71), manifest: plain.manifest } as View;
    const patched = Ranges.applyPatch(Ranges.cut(start), patchTo(after, Ranges.digests(Ranges.cut(start))));
    assert.deepEqual(patched, after);
    const document = start.manifest!.document;
    assert.equal(patched.manifest!.document.rules[999], document.rules[999]);
    assert.equal(patched.manifest!.document.groups, document.groups);
    assert.equal(patched.platform.servers[0], start.platform.servers[0]);
    assert.notEqual(patched.platform.servers[70], start.platform.servers[70]);
    const [one, other] = [Compiled.of(start)!, Compiled.of(patched)!];
    assert.equal(other.rules[999], one.rules[999]);
    const limits = { body_bytes: 5 };
    const limited = { ...patched, manifest: { ...patched.manifest!, document: { ...document, limits } } };
    const third = Compiled.of(limited)!;
    assert.notEqual(third.rules[999], one.rules[999]);
    assert.equal(third.rules[999]!.maxBodyBytes, 5, 'other limits make other rules');
    assert.equal(Compiled.of(patched)!.rules[999]!.maxBodyBytes, one.rules[999]!.maxBodyBytes);
  });

  it('mends from nothing when the whole is sent', () => {
    assert.deepEqual(Ranges.applyPatch(Ranges.cut(View.empty), patchTo(before, [])), before);
  });
  it('compresses patches and views for those that read them so, over the wire, and for no others', () => {
    const after = makeView(6, names.with(700, 'changed').with(3, 'changed-too'));
    const none = new Uint8Array();
    const transmit = <T extends Frame.Body>(body: T) => {
      const frame = Frame.encode(Stamp.none, body);
      return { length: frame.length, body: Frame.decode(frame.subarray(4)) as unknown as T };
    };
    const patch = ViewCache.patch(after, Ranges.digests(held), 'name');
    assert.equal(ViewCache.patch(after, Ranges.digests(held), 'name'), patch);
    const plain = transmit({ kind: 'patch', ...patch, compressed: none } as const);
    const short = transmit({
      kind: 'patch',
      seal: patch.seal,
      ranges: [] as typeof patch.ranges,
      compressed: ViewCache.compressedPatch(patch),
    } as const);
    assert.ok(short.length < plain.length / 2, `${short.length} of ${plain.length} bytes`);
    for (const { body } of [plain, short])
      assert.deepEqual(Ranges.applyPatch(held, ViewCache.decodePatch(body)), after);
    assert.equal(plain.body.compressed.length, 0);
    const whole = transmit({ kind: 'news', view: ViewCache.bytes(after), compressed: none } as const);
    const news = transmit({
      kind: 'news',
      view: none,
      compressed: ViewCache.compressedSmall(after),
    } as const);
    assert.ok(news.length < whole.length / 4, `${news.length} of ${whole.length} bytes`);
    for (const { body } of [whole, news]) assert.deepEqual(ViewCache.decodeView(body), after);
  });
  it('takes nothing compressed that cannot be read', () => {
    const damaged = Buffer.from('no such thing');
    assert.throws(
      () => ViewCache.decodeView({ view: new Uint8Array(), compressed: damaged }),
      /cannot be read/,
    );
    assert.throws(
      () => ViewCache.decodePatch({ seal: '', ranges: [], compressed: damaged }),
      /cannot be read/,
    );
  });
  it('takes no view that lacks a range, has a changed one, or has another seal', () => {
    const patch = patchTo(makeView(6, names.with(700, 'changed')));
    assert.throws(() => Ranges.applyPatch(Ranges.cut(View.empty), patch), /is missing or its digest differs/);
    const place = rangeOf(makeView(6, names.with(700, 'changed')), 'changed');
    const forged = patch.ranges.map((range) =>
      range.name === place ? { ...range, body: range.body.replace('changed', 'altered') } : range,
    );
    assert.throws(
      () => Ranges.applyPatch(held, { ...patch, ranges: forged }),
      /is missing or its digest differs/,
    );
    assert.throws(
      () => Ranges.applyPatch(held, { ...patch, ranges: patch.ranges.slice(0, -1) }),
      /different seal/,
    );
    const longer = patch.ranges.map((range) =>
      range.count > 1 ? { ...range, count: range.count + 1 } : range,
    );
    assert.throws(
      () => Ranges.applyPatch(held, { ...patch, ranges: longer }),
      /is missing or its digest differs|different seal/,
    );
  });
});
