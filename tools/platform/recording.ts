/**
 * What simulated clients, servers, operator and list record, and all that the checks read. Times are of the machine's
 * monotonic clock, in milliseconds.
 */
import { createHash } from 'node:crypto';
import { Journal } from '../journal.js';
import { Words } from './words.js';

/** The recording of one run. */
export type Recording = {
  readonly sent: Recording.Sent[];
  readonly ended: Recording.Ended[];
  readonly served: Recording.Served[];
  readonly orders: Recording.Order[];
  readonly listed: Recording.Listed[];
  /** Answers or other bytes on a connection where no request waited. */
  readonly strays: { readonly at: number; readonly front: string; readonly why: string }[];
  /** Starts of the processes behind a front address. */
  readonly lives: { readonly at: number; readonly front: string }[];
  /** Their ends by a kill, or by an order that they follow in order. */
  readonly ends: { readonly at: number; readonly front: string; readonly isDrain?: boolean }[];
  /** What the directory answered clients. */
  readonly resolved: { readonly at: number; readonly addresses: readonly string[] }[];
};

/** Types used with it. */
export declare namespace Recording {
  type Runs = 'once' | 'repeatable' | 'resumable';
  /** One try of a client. */
  type Sent = {
    readonly at: number;
    readonly attempt: string;
    readonly request: string;
    readonly kind: string;
    readonly runs: Runs;
    readonly host: string;
    readonly path: string;
    readonly region: string;
    readonly zone: string;
    readonly front: string;
    readonly digest: string;
    /** The time that it said it would wait. */
    readonly left?: number;
    /** Its model, tokens and parts of the prompt, as a digest. */
    readonly labels?: string;
    readonly lastEvent?: number;
    /** Whether its connection had carried a request before. */
    readonly isKept?: boolean;
    /** The key that it carried. */
    readonly key?: string;
  };
  type Outcome = 'whole' | 'refused' | 'failed' | 'broken' | 'unreached' | 'silent' | 'wrong' | 'left';
  type Ended = {
    readonly at: number;
    readonly attempt: string;
    readonly request: string;
    readonly outcome: Outcome;
    readonly status: number;
    readonly echoed?: string;
    readonly seal?: string;
    readonly digest?: string;
    readonly encoding?: string;
    /** Events of a stream as they came: their id, the run and the place that their data names. */
    readonly events?: readonly { readonly id: number; readonly run: string; readonly place: number }[];
    readonly first?: number;
    readonly widest?: number;
    readonly retryAfter?: number;
    readonly why?: string;
  };
  /** What a server did with what reached it. */
  type Served = { readonly at: number; readonly instance: string; readonly attempt: string } & (
    | {
        readonly kind: 'arrived';
        readonly service: string;
        readonly zone: string;
        readonly region: string;
        readonly host: string;
        readonly method: string;
        readonly path: string;
        readonly digest: string;
        readonly isCold: boolean;
        /** False when another instance or version was meant: such requests are answered 421. */
        readonly isMeant: boolean;
        readonly from: number;
        /** The time that it was handed; absent when it was handed none. */
        readonly remaining?: number;
        readonly labels?: string;
        /** The tenant that it was said to be of. */
        readonly subscriber?: string;
        /** Whether it still carried a key. */
        readonly hasKey?: boolean;
      }
    | { readonly kind: 'not-run'; readonly status: number }
    | {
        readonly kind: 'run';
        readonly run: string;
        readonly seal: string;
        readonly from: number;
        readonly read: number;
      }
    | {
        readonly kind: 'done';
        readonly run: string;
        readonly status: number;
        readonly digest: string;
        readonly last: number;
      }
    | { readonly kind: 'ended'; readonly run: string; readonly why: string; readonly last: number }
  );
  type Route = {
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    readonly services: readonly string[];
    readonly homes: readonly string[];
    readonly timeout?: number;
    readonly attempts?: number;
  };
  /** A tenant; a rate of 0 means that it has no limit. */
  type Subscriber = {
    readonly name: string;
    readonly keys: readonly string[];
    readonly perSecond: number;
    readonly burst: number;
  };
  type Order =
    | {
        readonly kind: 'configuration';
        readonly sent: number;
        readonly acked?: number;
        readonly status: number;
        readonly revision: number;
        readonly base: number;
        readonly isValid: boolean;
        readonly routes: readonly Route[];
        /** Absent in a configuration without tenants. */
        readonly subscribers?: readonly Subscriber[];
        readonly digest: string;
      }
    | {
        readonly kind: 'evacuate' | 'take-back';
        readonly sent: number;
        readonly acked?: number;
        readonly status: number;
        readonly zone: string;
      }
    | {
        readonly kind: 'read';
        readonly sent: number;
        readonly acked?: number;
        readonly status: number;
        readonly revision: number;
        readonly digest: string;
      };
  /** When the list began to show a server in a state. */
  type Listed = {
    readonly at: number;
    readonly instance: string;
    readonly state: 'available' | 'draining' | 'gone';
  };
}

/** Creates recordings and digests. */
export const Recording = {
  now: Journal.now,
  of: (): Recording => ({
    sent: [],
    ended: [],
    served: [],
    orders: [],
    listed: [],
    strays: [],
    lives: [],
    ends: [],
    resolved: [],
  }),
  digest: (bytes: Uint8Array | string): string =>
    createHash('sha256').update(bytes).digest('hex').slice(0, 16),
  /** What a request says of itself in headers, whoever reads them. */
  labels: (headers: Readonly<Record<string, unknown>>): string => {
    const byName = new Map(Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value]));
    const told = [Words.model, Words.tokens, Words.parts].map((name) => byName.get(name.toLowerCase()) ?? '');
    return Recording.digest(JSON.stringify(told));
  },
};
