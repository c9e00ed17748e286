// The primary's calls to one member over its courier. Each is bounded by what it carries: a fixed span and the
// time that its bytes take over the slowest link that is borne.
import type { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Stamp } from '../common/stamp.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Protocol } from '../wire/protocol.js';
import { Assembly } from './assembly.js';
import type { Payload } from './payload.js';
import type { TransferMeter } from './transfer-meter.js';

/** Requests to one member; each rejects with `link` or `silence` where no answer came. */
export type MemberCalls = {
  readonly append: (
    epoch: Epoch,
    previous: Stamp,
    record: Uint8Array,
    whole: boolean,
  ) => Promise<MemberCalls.Appended>;
  /** Asks where the member stands, and offers it a payload where one is given. */
  readonly offer: (epoch: Epoch, payload: Payload | undefined) => Promise<MemberCalls.Position>;
  /** Sends the piece of the payload that begins at the offset. */
  readonly piece: (epoch: Epoch, payload: Payload, offset: number) => Promise<MemberCalls.Position>;
  /** What the member knows of the frames; throws `link` before it has told. */
  readonly protocol: () => Protocol;
};

export declare namespace MemberCalls {
  type Appended = Extract<Frame.Reply, { kind: 'appended' }>;
  type Position = Extract<Frame.Reply, { kind: 'position' }>;
}

const answerWithin = 1200;
/** Bytes a millisecond of the slowest link that is borne: 0.26 Mbit/s. */
const slowestLink = 32;
/** Short enough that votes behind it on the same link are not late: 75 ms at 7 Mbit/s. */
const pieceLength = 64 * 1024;

export const MemberCalls = {
  of(needs: {
    readonly core: () => Frame.Core;
    readonly courierTo: (core: Frame.Core) => PeerClient | undefined;
    readonly meter: TransferMeter | undefined;
  }): MemberCalls {
    const courier = (): PeerClient => {
      const core = needs.core();
      const found = needs.courierTo(core);
      if (!found?.reaches(core)) throw Failure.of('link', `no courier to the disk of ${core.node}`);
      return found;
    };
    const unexpected = (kind: string) => Failure.of('frame', `unexpected ${kind}`);
    const ask = (request: Parameters<PeerClient['ask']>[0], length: number): Promise<Frame.Reply> =>
      courier().ask(request, answerWithin + length / slowestLink);
    const position = async (...asked: Parameters<typeof ask>): Promise<MemberCalls.Position> => {
      const reply = await ask(...asked);
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
      piece(epoch, { bytes: all, digest }, offset) {
        const bytes = all.subarray(offset, offset + pieceLength);
        needs.meter?.sent(bytes.length);
        const check = Assembly.digestOf(bytes);
        return position({ kind: 'piece', epoch, digest, offset, bytes, check }, bytes.length);
      },
      protocol() {
        const { protocol } = courier();
        if (!protocol) return Protocol.none;
        const known = protocol();
        if (known === undefined) throw Failure.of('link', `${needs.core().node} has told no protocol yet`);
        return known;
      },
    };
  },
};
