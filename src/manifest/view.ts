/**
 * The complete, immutable state that nodes exchange: the manifest and the server list of the platform as of one stamp. A
 * view is only ever replaced by one with a higher stamp.
 */
import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Revision } from '../common/revision.js';
import { Stamp } from '../common/stamp.js';
import type { Document } from './document.js';

/** The manifest and the server list as of one stamp. */
export type View = {
  readonly stamp: Stamp;
  readonly manifest: {
    readonly revision: Revision;
    readonly epoch: Epoch;
    readonly document: Document;
  } | null;
  readonly platform: View.Platform;
};

/** Parts of a view. */
export declare namespace View {
  /** The server list, and the instances that have announced that they leave. */
  type Platform = {
    readonly revision: Revision;
    readonly epoch: Epoch;
    readonly serial: number;
    readonly servers: readonly Document.Server[];
    readonly leaving: readonly string[];
  };
}

/** The views behind byte arrays made in this process, so that decoding them costs nothing. */
const viewsByBytes = new WeakMap<Uint8Array, View>();

/** Encodes and decodes views. */
export const View = {
  /** The view of a node that has received nothing yet. */
  empty: {
    stamp: Stamp.none,
    manifest: null,
    platform: { revision: Revision.none, epoch: Epoch.none, serial: 0, servers: [], leaving: [] },
  } as View,
  /** Returns the view as JSON. */
  encode(view: View): Uint8Array {
    const bytes = Buffer.from(JSON.stringify(view));
    viewsByBytes.set(bytes, view);
    return bytes;
  },
  /** Returns an empty array that `decode` maps back to the view. Only valid within this process. */
  encodeInProcess(view: View): Uint8Array {
    const token = new Uint8Array();
    viewsByBytes.set(token, view);
    return token;
  },
  /** Decodes a view. An array made by this process yields the original object, which is safe because views are immutable. */
  decode(bytes: Uint8Array): View {
    const known = viewsByBytes.get(bytes);
    if (known) return known;
    try {
      return JSON.parse(Buffer.from(bytes).toString('utf8')) as View;
    } catch (cause) {
      throw Failure.of('frame', 'view is not valid JSON', {}, cause);
    }
  },
};
