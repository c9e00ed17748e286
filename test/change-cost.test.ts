/**
 * The cost of a change depends on the change: a node that applies a patch parses, encodes and digests only the received
 * ranges, and a parent that passes a change on encodes and compresses no whole view.
 */
import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { Epoch } from '../src/common/epoch.js';
import { Revision } from '../src/common/revision.js';
import { Stamp } from '../src/common/stamp.js';
import { View } from '../src/manifest/view.js';
import { TransferQueue } from '../src/membership/transfer-queue.js';
import { ViewSender } from '../src/membership/view-sender.js';
import { Feed } from '../src/news/feed.js';
import { Ranges } from '../src/repair/ranges.js';
import { ViewCache } from '../src/repair/view-cache.js';
import type { Frame } from '../src/wire/frame.js';
import type { Link } from '../src/wire/link.js';
import { Protocol } from '../src/wire/protocol.js';
import { Random } from '../tools/random.js';
import { Bench } from './bench.js';

const random = Random.of(20);
const routes = 913;

const ruleOf = (index: number, path = `/route-${index}/*`) => ({
  ...Bench.manifest.rules[0]!,
  name: `rule-${index}`,
  match: { host: 'serve.example', path },
});

/** Text that cannot be compressed much, like the packed field of the operator's documents. */
const packedOf = (length: number): string =>
  Array.from({ length }, () => random.below(36).toString(36)).join('');

const viewOf = (revision: number, rules: readonly object[], packed = ''): View =>
  ({
    stamp: Stamp.of(1, revision),
    manifest: {
      revision: Revision.of(revision),
      epoch: Epoch.of(1),
      document: { ...Bench.manifest, rules, source: { format: 'x', number: revision, digest: 'd', packed } },
    },
    platform: {
      revision: Revision.of(1),
      epoch: Epoch.of(1),
      serial: 1,
      leaving: [],
      servers: Array.from({ length: 66 }, (_none, index) => ({
        instance: `i-${index}`,
        group: 'llm',
        address: '127.0.0.1:9',
        region: 'a',
        zone: 'a-1',
      })),
    },
  }) as unknown as View;

const plain = Array.from({ length: routes }, (_none, index) => ruleOf(index));

/** A deep copy, which shares no objects with the view and has no cached forms. */
const deepCopy = (view: View): View => JSON.parse(JSON.stringify(view)) as View;

/** The number of characters that are parsed and encoded as JSON during the work. */
const charactersOf = (work: () => unknown): number => {
  const { parse, stringify } = JSON;
  let count = 0;
  const write = mock.method(JSON, 'stringify', (...args: Parameters<typeof JSON.stringify>) => {
    const text = stringify(...args);
    count += text?.length ?? 0;
    return text;
  });
  const read = mock.method(JSON, 'parse', (text: string) => {
    count += text.length;
    return parse(text) as unknown;
  });
  try {
    work();
  } finally {
    write.mock.restore();
    read.mock.restore();
  }
  return count;
};

describe('the cost of a change', () => {
  it('is to read what came, at a node that holds the rest', () => {
    const held = viewOf(1, plain);
    const after = viewOf(2, plain.with(500, ruleOf(500, '/elsewhere/*')));
    const patch = Ranges.patch(Ranges.cut(deepCopy(after)), Ranges.digests(ViewCache.ranges(held)));
    const sent = patch.ranges.reduce((sum, { body }) => sum + body.length, 0);
    const whole = JSON.stringify(after).length;
    let patched = held;
    const count = charactersOf(() => {
      patched = Ranges.applyPatch(ViewCache.ranges(held), patch);
      Ranges.digests(ViewCache.ranges(patched));
      Ranges.seal(ViewCache.ranges(patched));
    });
    assert.deepEqual(patched, after);
    assert.equal(count, sent, `${count} characters for ${sent} that came`);
    assert.ok(count < whole / 20, `${count} of ${whole} characters`);
  });

  it('leaves the ranges that a cut of the mended view would give, over any run of changes', () => {
    for (const cut of ['name', 'position'] as const) {
      let [held, rules] = [viewOf(1, plain.slice(0, 40)), plain.slice(0, 40)];
      for (let revision = 2; revision < 60; revision += 1) {
        const at = random.below(rules.length);
        const one = ruleOf(1000 + revision);
        rules = random.pick([
          () => rules.with(at, one),
          () => rules.toSpliced(at, 0, one),
          () => rules.toSpliced(at, Math.min(5, rules.length - 1)),
          () => [...rules, ...plain.slice(100, 120)],
        ])();
        const intended = deepCopy(viewOf(revision, rules, packedOf(random.below(9))));
        const patch = Ranges.patch(
          Ranges.cut(intended, cut),
          Ranges.digests(ViewCache.ranges(held, cut)),
          cut === 'name',
        );
        held = Ranges.applyPatch(ViewCache.ranges(held, cut), patch, cut);
        assert.deepEqual(held, intended);
        const facts = (ranges: Ranges) => [...ranges].map(([name, { digest, body }]) => [name, digest, body]);
        assert.deepEqual(facts(ViewCache.ranges(held, cut)), facts(Ranges.cut(deepCopy(held), cut)));
      }
    }
  });

  it('is to send what changed, at a parent, however long that is, and to write no whole view for it', async () => {
    const feed = Feed.of(viewOf(1, plain, packedOf(9)));
    const sent: Frame.Body[] = [];
    let notifySent: () => void = () => {};
    const whenSent = new Promise<void>((resolve) => {
      notifySent = resolve;
    });
    const link = {
      isLocal: false,
      isOpen: () => true,
      flushed: () => Promise.resolve(),
      send(body: Frame.Body) {
        sent.push(body);
        if (body.kind !== 'ping') notifySent();
        return true;
      },
    } as unknown as Link;
    const viewSender = ViewSender.of({
      link,
      feed,
      transfers: TransferQueue.of(),
      protocol: Protocol.newest,
      isFirst: () => true,
      isSame: true,
      age: () => 0,
    });
    feed.offer(viewOf(2, plain, packedOf(60_000)));
    const encode = mock.method(View, 'encode');
    try {
      viewSender.send();
      await whenSent;
      assert.equal(sent[0]?.kind, 'patch');
      assert.equal(encode.mock.callCount(), 0, 'the whole view was written');
    } finally {
      encode.mock.restore();
    }
  });
});
