/**
 * The primary's requests to one member over its peer client. The timeout of each is a fixed time plus the time that its
 * bytes take over the slowest supported link.
 */
import type { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Stamp } from '../common/stamp.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Protocol } from '../wire/protocol.js';
import type { Payload } from './payload.js';
import { TransferAssembly } from './transfer-assembly.js';
import type { TransferMeter } from './transfer-meter.js';

/** Requests to one member; each rejects with `link` or `silence` if no reply arrives. */
export type MemberClient = {
  /** Sends one record: the change after `previous`, or a full state. */
  readonly append: (
    epoch: Epoch,
    previous: Stamp,
    record: Uint8Array,
    whole: boolean,
  ) => Promise<MemberClient.Appended>;
  /** Asks for the member's position, and offers it the payload if one is given. */
  readonly offer: (epoch: Epoch, payload: Payload | undefined) => Promise<MemberClient.Position>;
  /** Sends the piece of the payload that starts at the offset. */
  readonly piece: (epoch: Epoch, payload: Payload, offset: number) => Promise<MemberClient.Position>;
  /** The protocol version of the member; throws `link` until the member has reported it. */
  readonly protocol: () => Protocol;
};

/** The replies to the requests. */
export declare namespace MemberClient {
  /** The reply to an append. */
  type Appended = Extract<Frame.Reply, { kind: 'appended' }>;
  /** The reply to an offer or a piece. */
  type Position = Extract<Frame.Reply, { kind: 'position' }>;
}

const replyTimeoutMs = 1200;
/** Throughput of the slowest supported link: 0.26 Mbit/s. */
const minBytesPerMs = 32;
/** Small enough not to delay votes that queue behind it on the same link: 75 ms at 7 Mbit/s. */
const maxPieceBytes = 64 * 1024;

/** Creates clients for single members. */
export const MemberClient = {
  /** The client for one member, whose peer client is looked up for each request. */
  of(options: {
    readonly core: () => Frame.Core;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    readonly meter: TransferMeter | undefined;
  }): MemberClient {
    const peerClient = (): PeerClient => {
      const core = options.core();
      const found = options.clientFor(core);
      if (!found?.reaches(core)) throw Failure.of('link', `no link to the disk of ${core.node}`);
      return found;
    };
    const unexpected = (kind: string) => Failure.of('frame', `unexpected reply of kind ${kind}`);
    const ask = (request: Parameters<PeerClient['ask']>[0], byteLength: number): Promise<Frame.Reply> =>
      peerClient().ask(request, replyTimeoutMs + byteLength / minBytesPerMs);
    const position = async (...args: Parameters<typeof ask>): Promise<MemberClient.Position> => {
      const reply = await ask(...args);
      if (reply.kind !== 'position') throw unexpected(reply.kind);
      return reply;
    };
    return {
      async append(epoch, previous, record, whole) {
        const reply = await ask({ kind: 'append', epoch, previous, record, whole }, record.length);
        if (reply.kind !== 'appended') throw unexpected(reply.kind);
        return reply;
      },
      offer: (epoch, payload) =>
        position(
          {
            kind: 'offer',
            epoch,
            previous: payload?.previous ?? null,
            target: payload?.target ?? Stamp.none,
            length: payload?.bytes.length ?? 0,
            digest: payload?.digest ?? '',
          },
          0,
        ),
      piece(epoch, { bytes: payload, digest }, offset) {
        const bytes = payload.subarray(offset, offset + maxPieceBytes);
        options.meter?.recordSent(bytes.length);
        const check = TransferAssembly.digestOf(bytes);
        return position({ kind: 'piece', epoch, digest, offset, bytes, check }, bytes.length);
      },
      protocol() {
        const { protocol } = peerClient();
        if (!protocol) return Protocol.none;
        const known = protocol();
        if (known === undefined)
          throw Failure.of('link', `${options.core().node} has not reported its protocol version yet`);
        return known;
      },
    };
  },
};
