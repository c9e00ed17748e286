/**
 * The frames between the processes of the system, as a tagged union, and their encoding. A frame that cannot be decoded
 * is an error of its sender and closes the link. A frame of an unknown kind comes from a newer program version: it is
 * discarded and counted, and the link stays open.
 */
import type { Epoch } from '../common/epoch.js';
import { Failure } from '../common/failure.js';
import { Stamp } from '../common/stamp.js';
import { Schema } from './schema.js';

/**
 * One message, with the stamp of its sender, and when it was sent on the clock of its sender, in milliseconds, where the
 * sender wants that echoed.
 */
export type Frame = Frame.Body & { readonly stamp: Stamp; readonly sentAt?: number };

/** The kinds of frames and their parts. Field names are those of the protobuf schema. */
export declare namespace Frame {
  type Entry = {
    readonly node: string;
    readonly program: string;
    readonly zone: string;
    readonly boot: string;
    readonly stamp: Stamp;
    readonly http: string;
    readonly wire: string;
    readonly via: string;
    readonly counter: number;
    readonly age: number;
    readonly ready: boolean;
    readonly ops: string;
    readonly depth: number;
    readonly vouched: boolean;
  };
  type Body =
    | {
        readonly kind: 'hello';
        readonly self: Entry;
        readonly version: string;
        readonly aim: string;
        readonly protocol?: number;
      }
    | {
        readonly kind: 'welcome';
        readonly self: Entry;
        readonly peers: readonly string[];
        readonly relays: readonly string[];
        readonly version: string;
        readonly age: number;
        readonly protocol?: number;
      }
    | Ping
    | { readonly kind: 'ask'; readonly digests: readonly string[] }
    | {
        readonly kind: 'patch';
        readonly seal: string;
        readonly ranges: readonly {
          readonly name: string;
          readonly digest: string;
          readonly body: string;
          readonly count: number;
        }[];
        readonly compressed: Uint8Array;
      }
    | { readonly kind: 'news'; readonly view: Uint8Array; readonly compressed: Uint8Array }
    | {
        readonly kind: 'roll';
        readonly entries: readonly Entry[];
        readonly whole: boolean;
        readonly departed: readonly string[];
      }
    | {
        readonly kind: 'heartbeat';
        readonly count: number;
        readonly digest: string;
        readonly stale: readonly { readonly node: string; readonly age: number }[];
      }
    | { readonly kind: 'inquire'; readonly what: string }
    | { readonly kind: 'refuse'; readonly reason: string }
    | { readonly kind: 'lower'; readonly relays: readonly string[] }
    | { readonly kind: 'peers'; readonly peers: readonly string[] }
    | {
        readonly kind: 'roster';
        readonly proxies: readonly string[];
        readonly added: readonly string[];
        readonly departed: readonly string[];
        readonly digest: string;
        readonly whole: boolean;
      }
    | { readonly kind: 'loads'; readonly loads: readonly Load[] }
    | { readonly kind: 'leaving'; readonly instances: readonly string[] }
    | { readonly kind: 'failures'; readonly failed: readonly Failed[] }
    | { readonly kind: 'cold'; readonly instance: string; readonly age: number; readonly dark: boolean }
    | {
        readonly kind: 'tokens';
        readonly node: string;
        readonly epoch: number;
        /** Retry tokens of no group, which programs before `transfers` exchange. */
        readonly batches: readonly Batch[];
        readonly wanted: number;
        /** Retry tokens by group of servers. */
        readonly transfers?: readonly Transfer[];
        readonly serial: number;
        readonly uses: readonly Use[];
        readonly grants: readonly Grant[];
        readonly life?: boolean;
        readonly whole?: boolean;
        readonly listening?: boolean;
        /** Granted by a core on its own authority; the holder of the duty has not seen the report that it answers. */
        readonly fromAllowance?: boolean;
        /** The process of the proxy that sent a report, and for how long that has run, in milliseconds. */
        readonly boot?: string;
        readonly uptime?: number;
      }
    | Horizon
    | Request
    | Reply;
  /** The round of a holder of the quota duty; a later one goes before. */
  type HorizonBallot = { readonly epoch: number; readonly round: number; readonly node: string };
  /** A message between cores about what the holder of the quota duty may lease to all proxies together. */
  type Horizon = {
    readonly kind: 'horizon';
    /** The sender. */
    readonly node: string;
    /** `read` is answered by `state`, and `write` by `written`. */
    readonly step: string;
    readonly ballot: HorizonBallot;
    readonly serial: number;
    /** The most that may be leased, by team; half of the quota where nothing is said. */
    readonly bounds: readonly Grant[];
    /** Whether the message was not from an outdated holder. */
    readonly isTaken: boolean;
    /** Whether the answering core has lost nothing that was stored. */
    readonly isWhole: boolean;
    readonly promised?: HorizonBallot | null;
    /** Whose bounds these are, and which of them. */
    readonly accepted?: HorizonBallot | null;
    readonly acceptedSerial: number;
    /** Whether the bounds of teams that are not named are unknown, up to the whole quota. */
    readonly isOpen: boolean;
  };
  /** Links add all fields but the age when they send a ping. */
  type Ping = {
    readonly kind: 'ping';
    /** The age of the last message from the primary at the sender, without its time in transit. */
    readonly age: number;
    /** The `sentAt` of the last frame received from the other end, on that end's clock; 0 if there was none. */
    readonly echo?: number;
    /** Whether the sender knows an upper bound of the age of its view. */
    readonly isVerified?: boolean;
    /** The time since which the view of the sender may have been replaced, at most, in milliseconds. */
    readonly verifiedAge?: number;
  };
  type Request =
    | {
        readonly kind: 'prepare';
        readonly serial: number;
        readonly ballot: Ballot;
        readonly isForming: boolean;
      }
    | {
        readonly kind: 'accept';
        readonly serial: number;
        readonly ballot: Ballot;
        readonly term: Term;
        readonly isChosen: boolean;
      }
    | { readonly kind: 'peek'; readonly serial: number; readonly known?: string }
    | {
        readonly kind: 'append';
        readonly serial: number;
        readonly epoch: Epoch;
        readonly previous: Stamp;
        readonly record: Uint8Array;
        readonly whole: boolean;
      }
    /** Asks which state a member holds; with a length, also offers a transfer and asks at which offset to continue. */
    | {
        readonly kind: 'offer';
        readonly serial: number;
        readonly epoch: Epoch;
        /** The state that the transferred changes apply to; null when the transfer is a snapshot. */
        readonly previous: Stamp | null;
        readonly target: Stamp;
        readonly length: number;
        readonly digest: string;
      }
    /** One chunk of the transfer that `digest` identifies; `check` is the digest of this chunk. */
    | {
        readonly kind: 'piece';
        readonly serial: number;
        readonly epoch: Epoch;
        readonly digest: string;
        readonly offset: number;
        readonly bytes: Uint8Array;
        readonly check: string;
      }
    | { readonly kind: 'yield'; readonly serial: number; readonly epoch: Epoch }
    | { readonly kind: 'join'; readonly serial: number; readonly core: Core }
    /** A core that is about to stop asks the primary to remove it; `successor` is a core that waits for a slot. */
    | {
        readonly kind: 'leave';
        readonly serial: number;
        readonly core: Core;
        readonly successor: Core | null;
      };
  type Reply =
    | {
        readonly kind: 'vote';
        readonly serial: number;
        readonly isGranted: boolean;
        readonly isBlank: boolean;
        readonly promised: Ballot | null;
        readonly accepted: Ballot | null;
        readonly term: Term | null;
        readonly core: Core;
        readonly highest: Epoch;
        readonly isAble: boolean;
        readonly held: Stamp;
        readonly digest?: string;
        readonly isSame?: boolean;
        /** The protocol version of the sender; absent from programs older than this field. */
        readonly protocol?: number;
      }
    | {
        readonly kind: 'appended';
        readonly serial: number;
        readonly isTaken: boolean;
        readonly held: Stamp;
        readonly floor: Epoch;
        readonly why: string;
      }
    /** The progress of a member: the state that it has synced, and how much of the current transfer it has received. */
    | {
        readonly kind: 'position';
        readonly serial: number;
        readonly isTaken: boolean;
        readonly held: Stamp;
        readonly floor: Epoch;
        readonly why: string;
        readonly offset: number;
        readonly isWriting: boolean;
      }
    | { readonly kind: 'done'; readonly serial: number; readonly isDone: boolean; readonly why: string };
  type Load = {
    readonly instance: string;
    readonly queued: number;
    readonly active: number;
    readonly bound: number;
  };
  type Failed = { readonly instance: string; readonly count: number };
  /** Retry tokens, in thousandths, and their age in milliseconds. */
  type Batch = { readonly amount: number; readonly age: number };
  /** Retry tokens of a group that are handed over, and the amount wanted in return. */
  type Transfer = { readonly group: string; readonly batches: readonly Batch[]; readonly wanted: number };
  type Work = { readonly requests: number; readonly prompt: number };
  type Use = {
    readonly team: string;
    readonly used: Work;
    readonly holds: Work;
    readonly wanted: Work;
    readonly must: Work;
    readonly proxies?: number;
    /** What this process has admitted since its start, and what of it was refunded. */
    readonly admitted?: Work;
    readonly refunded?: Work;
    /** What the holder had recorded of this process before this report, at least. */
    readonly leased?: Work;
  };
  type Grant = Work & { readonly team: string };
  type Ballot = { readonly round: number; readonly disk: string };
  type Core = { readonly disk: string; readonly node: string; readonly wire: string; readonly http: string };
  type Term = {
    readonly epoch: Epoch;
    readonly primary: string;
    readonly inSync: readonly string[];
    readonly cores: readonly Core[];
    readonly formed: Epoch;
  };
}

const decodeOptions = { longs: Number, defaults: true, arrays: true, oneofs: true } as const;
/** Largest accepted frame, in bytes (32 MiB). */
const maxFrameBytes = 32 * 1024 * 1024;
let unknownFrames = 0;

/** A message about retry tokens or quotas without its sender, and with nothing in it. */
const emptyTokens: Omit<Extract<Frame.Body, { kind: 'tokens' }>, 'node'> = {
  kind: 'tokens',
  epoch: 0,
  batches: [],
  wanted: 0,
  serial: 0,
  uses: [],
  grants: [],
};

/** Encodes and decodes frames. */
export const Frame = {
  maxBytes: maxFrameBytes,
  emptyTokens,
  /** The frame with its length prefix of four bytes; throws when it exceeds the limit. */
  encode(stamp: Stamp, frame: Frame.Body, sentAt = 0): Buffer {
    const { kind, ...body } = frame;
    const bytes = Schema.frame.encode(Schema.frame.fromObject({ stamp, sentAt, [kind]: body })).finish();
    if (bytes.length > maxFrameBytes)
      throw Failure.of('frame', 'frame exceeds the size limit', { length: bytes.length });
    const framed = Buffer.allocUnsafe(4 + bytes.length);
    framed.writeUInt32BE(bytes.length, 0);
    framed.set(bytes, 4);
    return framed;
  },
  /** The number of frames of unknown kinds received so far. */
  unknownCount: () => unknownFrames,
  /** Decodes a frame without its length prefix; undefined when its kind is unknown. */
  decode(bytes: Uint8Array): Frame | undefined {
    let plain: Record<string, unknown>;
    try {
      plain = Schema.frame.toObject(Schema.frame.decode(bytes), decodeOptions);
    } catch (cause) {
      throw Failure.of('frame', 'frame cannot be decoded', { length: bytes.length }, cause);
    }
    const kind = plain.body as string | undefined;
    if (kind === undefined) {
      unknownFrames += 1;
      return undefined;
    }
    const { stamp = Stamp.none, sentAt } = plain;
    return { kind, stamp, ...(sentAt ? { sentAt } : {}), ...(plain[kind] as object) } as Frame;
  },
};
