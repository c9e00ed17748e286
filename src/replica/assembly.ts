// The receiver's part of a transfer: pieces put together in memory, in order, each checked by its own digest and
// all of them by the digest of the whole. It outlives the link, so that a transfer goes on where it stopped.
import { createHash, type Hash } from 'node:crypto';
import { Stamp } from '../common/stamp.js';
import { Frame } from '../wire/frame.js';

/** At most one transfer under way, the newest one offered. */
export type Assembly = {
  /** Begins a transfer, or goes on with it where it is under way; false where a newer one is. */
  readonly begin: (transfer: Assembly.Transfer) => boolean;
  /** Adds the next piece of the transfer under way; any other is left aside. */
  readonly add: (piece: Pick<Extract<Frame.Request, { kind: 'piece' }>, Assembly.PieceField>) => void;
  /** The bytes received of the transfer with this digest. */
  readonly offset: (digest: string) => number;
  /** The transfer under way, once all of its bytes are there. */
  readonly finished: () => Assembly.Finished | undefined;
  /** Forgets the transfer with this digest. */
  readonly end: (digest: string) => void;
};

export declare namespace Assembly {
  type PieceField = 'digest' | 'offset' | 'bytes' | 'check';
  type Transfer = Omit<Extract<Frame.Request, { kind: 'offer' }>, 'kind' | 'serial'>;
  type Finished = { readonly transfer: Transfer; readonly bytes: Buffer };
}

type UnderWay = {
  readonly transfer: Assembly.Transfer;
  readonly bytes: Buffer;
  readonly hash: Hash;
  length: number;
};

const digestOf = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('base64');

export const Assembly = {
  /** The digest of a piece or of a whole transfer. */
  digestOf,
  of(): Assembly {
    let underWay: UnderWay | undefined;
    const begin = (transfer: Assembly.Transfer) => {
      const bytes = Buffer.allocUnsafe(transfer.length);
      underWay = { transfer, bytes, hash: createHash('sha256'), length: 0 };
    };
    const isNewer = (transfer: Assembly.Transfer, than: Assembly.Transfer): boolean =>
      transfer.epoch > than.epoch ||
      (transfer.epoch === than.epoch && !Stamp.isNewer(than.target, transfer.target));
    return {
      begin(transfer) {
        if (transfer.length > Frame.maxBytes) return false;
        if (underWay?.transfer.digest === transfer.digest) return true;
        if (underWay && !isNewer(transfer, underWay.transfer)) return false;
        begin(transfer);
        return true;
      },
      add({ digest, offset, bytes, check }) {
        if (underWay?.transfer.digest !== digest || underWay.length !== offset) return;
        if (offset + bytes.length > underWay.transfer.length || digestOf(bytes) !== check) return;
        underWay.bytes.set(bytes, offset);
        underWay.hash.update(bytes);
        underWay.length += bytes.length;
        if (underWay.length < underWay.transfer.length) return;
        if (underWay.hash.copy().digest('base64') !== digest) begin(underWay.transfer);
      },
      offset: (digest) => (underWay?.transfer.digest === digest ? underWay.length : 0),
      finished() {
        if (!underWay || underWay.length < underWay.transfer.length) return undefined;
        return { transfer: underWay.transfer, bytes: underWay.bytes };
      },
      end(digest) {
        if (underWay?.transfer.digest === digest) underWay = undefined;
      },
    };
  },
};
