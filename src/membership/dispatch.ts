// Sends one child the newest view: what is small goes at once, what is large in the child's turn, and then what
// is newest by that time. A child asks again with every ping until it has the view: what it asks while it waits, or
// asked before the view reached it, is one question.
import { Stamp } from '../common/stamp.js';
import { View } from '../manifest/view.js';
import type { Feed } from '../news/feed.js';
import { Copies } from '../repair/copies.js';
import { Ranges } from '../repair/ranges.js';
import type { Link } from '../wire/link.js';
import { Protocol } from '../wire/protocol.js';
import type { Turns } from './turns.js';

export type Dispatch = {
  readonly send: () => void;
  readonly answer: (digests: readonly string[]) => void;
  /** The child says that it holds the view of this stamp, which it may have from others. */
  readonly holds: (stamp: Stamp) => void;
};

export declare namespace Dispatch {
  type Needs = {
    readonly link: Link;
    readonly feed: Feed;
    readonly turns: Turns;
    readonly protocol: Protocol;
    readonly isFirst: () => boolean;
    readonly isSame: boolean;
    readonly age: () => number;
  };
}

const smallUpTo = 32 * 1024;

/** A patch of more than a part in so many of the view is no saving over the whole, which is compressed once for all. */
const mostOfWhole = 2;

const lengths = new WeakMap<Ranges, number>();

/** How long the view is that these ranges are cut from, without writing it. */
const lengthOf = (ranges: Ranges): number => {
  const length = lengths.get(ranges) ?? [...ranges.values()].reduce((sum, { body }) => sum + body.length, 0);
  lengths.set(ranges, length);
  return length;
};

const sizeOf = (patch: Ranges.Patch): number => patch.ranges.reduce((sum, { body }) => sum + body.length, 0);

export const Dispatch = {
  of({ link, feed, turns, protocol, isFirst, isSame, age }: Dispatch.Needs): Dispatch {
    const isByName = protocol >= Protocol.rangesByName;
    const ranges = () => Copies.of(feed.view(), isByName ? 'name' : 'position');
    let held: readonly string[] = isSame ? Ranges.digests(ranges()) : [];
    let isWaiting = false;
    let answered: { readonly stamp: Stamp; readonly question: string } | undefined;
    let heldAt = isSame ? feed.stamp() : Stamp.none;
    const patchNow = (): Ranges.Patch => Copies.patch(feed.view(), held, isByName ? 'name' : 'position');
    const isWorthIt = (patch: Ranges.Patch) => patch.ranges.some(({ body }) => body === '');
    const sent = () => {
      held = Ranges.digests(ranges());
      heldAt = feed.stamp();
      if (answered) answered = { ...answered, stamp: feed.stamp() };
      link.send({ kind: 'ping', age: age() });
    };
    const sendPatch = (patch: Ranges.Patch) => {
      const compressed = isByName ? Copies.compressedPatch(patch) : new Uint8Array();
      const isLess = compressed.length > 0;
      link.send({ kind: 'patch', seal: patch.seal, ranges: isLess ? [] : patch.ranges, compressed });
      sent();
    };
    const sendWhole = (compressed: Uint8Array) => {
      const view = compressed.length > 0 ? new Uint8Array() : Copies.bytes(feed.view());
      link.send({ kind: 'news', view, compressed });
      sent();
    };
    const compress = async (): Promise<Uint8Array> => {
      if (!isByName) return new Uint8Array();
      for (;;) {
        const view = feed.view();
        const compressed = await Copies.compressed(view);
        if (view === feed.view()) return compressed;
      }
    };
    const isFewer = (patch: Ranges.Patch) =>
      isWorthIt(patch) && sizeOf(patch) <= lengthOf(ranges()) / mostOfWhole;
    // The whole view is written and compressed only for a child that needs most of it.
    const sendLarge = async (): Promise<void> => {
      const compressed = isFewer(patchNow()) ? undefined : await compress();
      isWaiting = false;
      if (!link.isOpen()) return;
      const patch = patchNow();
      if (compressed === undefined || isFewer(patch) || (isWorthIt(patch) && !isByName)) sendPatch(patch);
      else sendWhole(compressed);
      await link.flushed();
    };
    const hand = () => {
      link.send({ kind: 'news', view: View.encodeInProcess(feed.view()), compressed: new Uint8Array() });
      link.send({ kind: 'ping', age: age() });
    };
    const send = () => {
      if (link.isLocal) return hand();
      if (isWaiting) return;
      const patch = patchNow();
      if (isWorthIt(patch) && sizeOf(patch) <= smallUpTo) return sendPatch(patch);
      if (lengthOf(ranges()) <= smallUpTo)
        return sendWhole(isByName ? Copies.compressedSmall(feed.view()) : new Uint8Array());
      isWaiting = true;
      turns.give(isFirst(), sendLarge);
    };
    return {
      send,
      holds(stamp) {
        if (!Stamp.isSame(stamp, feed.stamp()) || Stamp.isSame(stamp, heldAt)) return;
        held = Ranges.digests(ranges());
        heldAt = stamp;
      },
      answer(digests) {
        const question = digests.join();
        const isAgain =
          digests.length > 0 &&
          answered?.question === question &&
          Stamp.isSame(answered.stamp, feed.stamp()) &&
          !isWaiting;
        if (isAgain) return;
        held = digests;
        answered = { stamp: feed.stamp(), question };
        send();
      },
    };
  },
};
