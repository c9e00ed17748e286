/**
 * Sends one child the newest view. Small views and patches are sent at once; large ones wait in the transfer queue, and
 * then what is newest by that time is sent. A child repeats its request with every ping until it has the view, so equal
 * requests that arrive while it waits, or before the view reached it, are answered once.
 */
import { Stamp } from '../common/stamp.js';
import { View } from '../manifest/view.js';
import type { Feed } from '../news/feed.js';
import { Ranges } from '../repair/ranges.js';
import { ViewCache } from '../repair/view-cache.js';
import type { Link } from '../wire/link.js';
import { Protocol } from '../wire/protocol.js';
import type { TransferQueue } from './transfer-queue.js';

/** Sends the newest view to one child. */
export type ViewSender = {
  /** Sends the newest view, or queues it when it is large. */
  readonly send: () => void;
  /** The child asks for the newest view and names the digests of the ranges that it holds. */
  readonly handleRequest: (digests: readonly string[]) => void;
  /** The child reported that it holds the view with this stamp, which it may have received from another node. */
  readonly markHeld: (stamp: Stamp) => void;
};

/** Options of a view sender. */
export declare namespace ViewSender {
  type Options = {
    readonly link: Link;
    readonly feed: Feed;
    readonly transfers: TransferQueue;
    readonly protocol: Protocol;
    /** Whether the child passes views on to other nodes, so that it is served before the others. */
    readonly isFirst: () => boolean;
    /** Whether the child joined with the view that this node holds. */
    readonly isSame: boolean;
    /** The age of the last message from the primary, in milliseconds. */
    readonly age: () => number;
  };
}

/** Up to this length a view or patch is sent without queueing, in characters of JSON. */
const immediateMaxLength = 32 * 1024;

/**
 * A patch is sent only when it is at most the length of the view divided by this. A larger one saves nothing over the
 * whole view, which is compressed once for all children.
 */
const patchDivisor = 2;

const lengthCache = new WeakMap<Ranges, number>();

/** The length of the view that these ranges are cut from, in characters, without encoding it. */
const lengthOfView = (ranges: Ranges): number => {
  const length =
    lengthCache.get(ranges) ?? [...ranges.values()].reduce((sum, { body }) => sum + body.length, 0);
  lengthCache.set(ranges, length);
  return length;
};

const lengthOfPatch = (patch: Ranges.Patch): number =>
  patch.ranges.reduce((sum, { body }) => sum + body.length, 0);

/** Creates a view sender. */
export const ViewSender = {
  of({ link, feed, transfers, protocol, isFirst, isSame, age }: ViewSender.Options): ViewSender {
    const isByName = protocol >= Protocol.rangesByName;
    const ranges = () => ViewCache.ranges(feed.view(), isByName ? 'name' : 'position');
    let heldDigests: readonly string[] = isSame ? Ranges.digests(ranges()) : [];
    let isWaiting = false;
    let lastRequest: { readonly stamp: Stamp; readonly request: string } | undefined;
    let heldStamp = isSame ? feed.stamp() : Stamp.none;
    const currentPatch = (): Ranges.Patch =>
      ViewCache.patch(feed.view(), heldDigests, isByName ? 'name' : 'position');
    const reusesRanges = (patch: Ranges.Patch) => patch.ranges.some(({ body }) => body === '');
    const recordSent = () => {
      heldDigests = Ranges.digests(ranges());
      heldStamp = feed.stamp();
      if (lastRequest) lastRequest = { ...lastRequest, stamp: feed.stamp() };
      link.send({ kind: 'ping', age: age() });
    };
    const sendPatch = (patch: Ranges.Patch) => {
      const compressed = isByName ? ViewCache.compressedPatch(patch) : new Uint8Array();
      const isCompressed = compressed.length > 0;
      link.send({ kind: 'patch', seal: patch.seal, ranges: isCompressed ? [] : patch.ranges, compressed });
      recordSent();
    };
    const sendWhole = (compressed: Uint8Array) => {
      const view = compressed.length > 0 ? new Uint8Array() : ViewCache.bytes(feed.view());
      link.send({ kind: 'news', view, compressed });
      recordSent();
    };
    const compress = async (): Promise<Uint8Array> => {
      if (!isByName) return new Uint8Array();
      for (;;) {
        const view = feed.view();
        const compressed = await ViewCache.compressed(view);
        if (view === feed.view()) return compressed;
      }
    };
    const isPatchSmaller = (patch: Ranges.Patch) =>
      reusesRanges(patch) && lengthOfPatch(patch) <= lengthOfView(ranges()) / patchDivisor;
    // The whole view is encoded and compressed only for a child that needs most of it.
    const sendLarge = async (): Promise<void> => {
      const compressed = isPatchSmaller(currentPatch()) ? undefined : await compress();
      isWaiting = false;
      if (!link.isOpen()) return;
      const patch = currentPatch();
      if (compressed === undefined || isPatchSmaller(patch) || (reusesRanges(patch) && !isByName))
        sendPatch(patch);
      else sendWhole(compressed);
      await link.flushed();
    };
    const sendLocally = () => {
      link.send({ kind: 'news', view: View.encodeInProcess(feed.view()), compressed: new Uint8Array() });
      link.send({ kind: 'ping', age: age() });
    };
    const send = () => {
      if (link.isLocal) return sendLocally();
      if (isWaiting) return;
      const patch = currentPatch();
      if (reusesRanges(patch) && lengthOfPatch(patch) <= immediateMaxLength) return sendPatch(patch);
      if (lengthOfView(ranges()) <= immediateMaxLength)
        return sendWhole(isByName ? ViewCache.compressedSmall(feed.view()) : new Uint8Array());
      isWaiting = true;
      transfers.enqueue(isFirst(), sendLarge);
    };
    return {
      send,
      markHeld(stamp) {
        if (!Stamp.isSame(stamp, feed.stamp()) || Stamp.isSame(stamp, heldStamp)) return;
        heldDigests = Ranges.digests(ranges());
        heldStamp = stamp;
      },
      handleRequest(digests) {
        const request = digests.join();
        const isRepeated =
          digests.length > 0 &&
          lastRequest?.request === request &&
          Stamp.isSame(lastRequest.stamp, feed.stamp()) &&
          !isWaiting;
        if (isRepeated) return;
        heldDigests = digests;
        lastRequest = { stamp: feed.stamp(), request };
        send();
      },
    };
  },
};
