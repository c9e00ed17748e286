// A view is what news carries: the manifest and the platform's list as of one stamp, always whole. It
// is never changed, only replaced by one with a higher stamp.
import { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Revision } from '../common/revision.js';
import { Stamp } from '../common/stamp.js';
import type { Document } from './document.js';

export type View = {
  readonly stamp: Stamp;
  readonly manifest: {
    readonly revision: Revision;
    readonly epoch: Epoch;
    readonly document: Document;
  } | null;
  readonly platform: View.Platform;
};

export declare namespace View {
  type Platform = {
    readonly revision: Revision;
    readonly epoch: Epoch;
    readonly serial: number;
    readonly servers: readonly Document.Server[];
    readonly leaving: readonly string[];
  };
}

const decoded = new WeakMap<Uint8Array, View>();

export const View = {
  empty: {
    stamp: Stamp.none,
    manifest: null,
    platform: { revision: Revision.none, epoch: Epoch.none, serial: 0, servers: [], leaving: [] },
  } as View,
  encode(view: View): Uint8Array {
    const bytes = Buffer.from(JSON.stringify(view));
    decoded.set(bytes, view);
    return bytes;
  },
  /** Stands for the view within this process, and is no bytes of it. */
  encodeInProcess(view: View): Uint8Array {
    const token = new Uint8Array();
    decoded.set(token, view);
    return token;
  },
  /** Bytes written in this process give back the very view, which is never changed. */
  decode(bytes: Uint8Array): View {
    const known = decoded.get(bytes);
    if (known) return known;
    try {
      return JSON.parse(Buffer.from(bytes).toString('utf8')) as View;
    } catch (cause) {
      throw Failure.of('frame', 'view cannot be read', {}, cause);
    }
  },
};
