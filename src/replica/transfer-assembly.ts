/**
 * The receiving side of a transfer: assembles pieces in memory and in order. Each piece is checked against its own
 * digest, and the complete payload against the digest of the whole. The assembly outlives the link, so that a transfer
 * resumes at the offset it had reached.
 */
import { createHash, type Hash } from 'node:crypto';
import { Stamp } from '../common/stamp.js';
import { Frame } from '../wire/frame.js';

/** Holds at most one transfer in progress: the newest one offered. */
export type TransferAssembly = {
  /**
   * Starts a transfer, or resumes it if it is in progress; returns false if it is too long or a newer one is in
   * progress.
   */
  readonly begin: (transfer: TransferAssembly.Transfer) => boolean;
  /** Adds the next piece of the transfer in progress; ignores any other piece. */
  readonly add: (piece: Pick<Extract<Frame.Request, { kind: 'piece' }>, TransferAssembly.PieceField>) => void;
  /** The number of bytes received of the transfer with this digest. */
  readonly offset: (digest: string) => number;
  /** The transfer in progress, once all of its bytes have been received. */
  readonly completed: () => TransferAssembly.Completed | undefined;
  /** Discards the transfer with this digest. */
  readonly discard: (digest: string) => void;
};

/** Types of the transfer assembly. */
export declare namespace TransferAssembly {
  /** The fields of a piece that assembling it needs. */
  type PieceField = 'digest' | 'offset' | 'bytes' | 'check';
  /** What an offer says of the transfer that it announces. */
  type Transfer = Omit<Extract<Frame.Request, { kind: 'offer' }>, 'kind' | 'serial'>;
  /** A transfer with all of its bytes. */
  type Completed = { readonly transfer: Transfer; readonly bytes: Buffer };
}

type InProgress = {
  readonly transfer: TransferAssembly.Transfer;
  readonly bytes: Buffer;
  readonly hash: Hash;
  length: number;
};

const digestOf = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('base64');

/** Creates transfer assemblies and computes their digests. */
export const TransferAssembly = {
  /** The SHA-256 digest, in base64, of a piece or of a complete payload. */
  digestOf,
  /** An assembly with no transfer in progress. */
  of(): TransferAssembly {
    let current: InProgress | undefined;
    const start = (transfer: TransferAssembly.Transfer) => {
      const bytes = Buffer.allocUnsafe(transfer.length);
      current = { transfer, bytes, hash: createHash('sha256'), length: 0 };
    };
    const isNewer = (transfer: TransferAssembly.Transfer, than: TransferAssembly.Transfer): boolean =>
      transfer.epoch > than.epoch ||
      (transfer.epoch === than.epoch && !Stamp.isNewer(than.target, transfer.target));
    return {
      begin(transfer) {
        if (transfer.length > Frame.maxBytes) return false;
        if (current?.transfer.digest === transfer.digest) return true;
        if (current && !isNewer(transfer, current.transfer)) return false;
        start(transfer);
        return true;
      },
      add({ digest, offset, bytes, check }) {
        if (current?.transfer.digest !== digest || current.length !== offset) return;
        if (offset + bytes.length > current.transfer.length || digestOf(bytes) !== check) return;
        current.bytes.set(bytes, offset);
        current.hash.update(bytes);
        current.length += bytes.length;
        if (current.length < current.transfer.length) return;
        if (current.hash.copy().digest('base64') !== digest) start(current.transfer);
      },
      offset: (digest) => (current?.transfer.digest === digest ? current.length : 0),
      completed() {
        if (!current || current.length < current.transfer.length) return undefined;
        return { transfer: current.transfer, bytes: current.bytes };
      },
      discard(digest) {
        if (current?.transfer.digest === digest) current = undefined;
      },
    };
  },
};
