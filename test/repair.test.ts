// Copies compared by digests over ranges: only what differs is sent, what is put together is what was
// meant, and a copy that cannot be mended is never taken.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Epoch } from '../src/kinds/epoch.js';
import { Revision } from '../src/kinds/revision.js';
import { Stamp } from '../src/kinds/stamp.js';
import { View } from '../src/manifest/view.js';
import { Feed } from '../src/news/feed.js';
import { Copies } from '../src/repair/copies.js';
import { Ranges } from '../src/repair/ranges.js';
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
const patchTo = (after: View, digests = Ranges.digests(held)) =>
  Ranges.patch(Ranges.cut(after), new Set(digests));
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
    for (const [after, wanted] of [
      [makeView(6, names.with(700, 'changed')), ['meta', 'rules/21']],
      [makeView(6, [...names, 'one-more']), ['meta', 'rules/31']],
      [makeView(6, names, 71), ['meta', 'servers/2']],
      [makeView(6, names.slice(0, 10)), ['meta', 'rules/0']],
    ] as const) {
      const patch = patchTo(after);
      assert.deepEqual(bodies(patch), wanted);
      assert.deepEqual(Ranges.mend(held, patch), after);
      const whole = View.encode(after).length;
      const sent = patch.ranges.reduce((sum, { body }) => sum + body.length, 0);
      assert.ok(sent < whole / 3, `${sent} of ${whole} bytes`);
    }
  });
  it('mends from nothing when the whole is sent', () => {
    assert.deepEqual(Ranges.mend(Ranges.cut(View.empty), patchTo(before, [])), before);
  });
  it('packs patches and news for those that unpack them, over the wire, and for no others', () => {
    const after = makeView(6, names.with(700, 'changed').with(3, 'changed-too'));
    const over = <T extends Frame.Body['kind']>(body: Extract<Frame.Body, { kind: T }>) => {
      const frame = Frame.encode(Stamp.none, body);
      return { length: frame.length, body: Frame.decode(frame.subarray(4)) as unknown as typeof body };
    };
    const digests = new Set(Ranges.digests(held));
    const plain = over(Copies.patch(after, digests, false)!);
    const short = over(Copies.patch(after, digests, true)!);
    assert.ok(short.length < plain.length / 2, `${short.length} of ${plain.length} bytes`);
    for (const { body } of [plain, short]) assert.deepEqual(Ranges.mend(held, Copies.patchOf(body)), after);
    assert.equal(plain.body.packed?.length, 0);
    const whole = over(Copies.news(after, false));
    const news = over(Copies.news(after, true));
    assert.ok(news.length < whole.length / 4, `${news.length} of ${whole.length} bytes`);
    for (const { body } of [whole, news]) assert.deepEqual(Copies.viewOf(body), after);
    assert.equal(Copies.patch(after, new Set(), true), undefined);
  });
  it('takes nothing packed that cannot be unpacked', () => {
    const damaged = { kind: 'news', view: new Uint8Array(), packed: Buffer.from('no such thing') } as const;
    assert.throws(() => Copies.viewOf(damaged), /cannot be read/);
    assert.throws(
      () => Copies.patchOf({ kind: 'patch', seal: '', ranges: [], packed: damaged.packed }),
      /cannot be read/,
    );
  });
  it('takes no view that lacks a range, has a changed one, or has another seal', () => {
    const patch = patchTo(makeView(6, names.with(700, 'changed')));
    assert.throws(() => Ranges.mend(Ranges.cut(View.empty), patch), /cannot be mended/);
    const forged = patch.ranges.map((range) =>
      range.name === 'rules/21' ? { ...range, body: range.body.replace('changed', 'altered') } : range,
    );
    assert.throws(() => Ranges.mend(held, { ...patch, ranges: forged }), /cannot be mended/);
    assert.throws(() => Ranges.mend(held, { ...patch, ranges: patch.ranges.slice(0, -1) }), /another seal/);
  });
});
