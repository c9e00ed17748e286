// The cases of the fuzzer, drawn by fast-check from a seed: some requests at a time, how each client writes its
// bytes and when it leaves, and what the server does with each arrival, well or badly.
import fc from 'fast-check';

export type Case = {
  readonly way: Case.Way;
  readonly clients: readonly Case.Client[];
};

export declare namespace Case {
  /** The platform's words, the product's own with an echoed header, and its own without one. */
  type Way = 'platform' | 'own' | 'plain';
  type Act = {
    readonly kind: (typeof acts)[number];
    /** Milliseconds before the server begins. */
    readonly delay: number;
    /** Where an answer is cut, in thousandths of its bytes. */
    readonly cut: number;
    readonly size: number;
  };
  type Request = {
    readonly runs: 'once' | 'safe';
    readonly method: 'GET' | 'POST' | 'PUT';
    readonly path: string;
    readonly size: number;
    readonly isChunked: boolean;
    readonly acts: readonly Act[];
  };
  type Client = {
    /** Sent on one connection, all at once. */
    readonly requests: readonly Request[];
    /** The bytes are written in two parts, cut here (in thousandths). */
    readonly split: number;
    /** Where the client leaves: after so many thousandths of its bytes, or of the time after them. */
    readonly leaves: 'never' | 'writing' | 'waiting';
    readonly leaveAt: number;
  };
}

const acts = [
  'whole',
  'chunked',
  'until-end',
  'until-reset',
  'no-content',
  'failure',
  'not-run',
  'no-promise',
  'twice',
  'repeats-before-next',
  'junk-after',
  'cut',
  'reset',
  'reset-unread',
  'silence',
  'foreign-id',
  'no-id',
  'interim',
  'garbage',
] as const;

const act: fc.Arbitrary<Case.Act> = fc.record({
  kind: fc.oneof(
    { weight: 8, arbitrary: fc.constant('whole' as const) },
    { weight: 12, arbitrary: fc.constantFrom(...acts) },
  ),
  delay: fc.oneof(
    { weight: 5, arbitrary: fc.constant(0) },
    { weight: 1, arbitrary: fc.integer({ min: 1, max: 12 }) },
  ),
  cut: fc.integer({ min: 0, max: 1000 }),
  size: fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 20_000 })),
});

const request: fc.Arbitrary<Case.Request> = fc.record({
  runs: fc.constantFrom('once' as const, 'safe' as const),
  method: fc.constantFrom('GET' as const, 'POST' as const, 'PUT' as const),
  path: fc.constantFrom('a', 'a?b=%20&c', '%41/../x', 'x//y', 'a;b=1', '~!$&'),
  size: fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 9000 })),
  isChunked: fc.boolean(),
  acts: fc.array(act, { minLength: 3, maxLength: 3 }),
});

const client: fc.Arbitrary<Case.Client> = fc.record({
  requests: fc.oneof(
    { weight: 5, arbitrary: fc.array(request, { minLength: 1, maxLength: 1 }) },
    { weight: 1, arbitrary: fc.array(request, { minLength: 2, maxLength: 3 }) },
  ),
  split: fc.integer({ min: 0, max: 1000 }),
  leaves: fc.oneof(
    { weight: 8, arbitrary: fc.constant('never' as const) },
    { weight: 1, arbitrary: fc.constant('writing' as const) },
    { weight: 1, arbitrary: fc.constant('waiting' as const) },
  ),
  leaveAt: fc.integer({ min: 0, max: 999 }),
});

const arbitrary: fc.Arbitrary<Case> = fc.record({
  way: fc.constantFrom('platform' as const, 'own' as const, 'plain' as const),
  clients: fc.array(client, { minLength: 1, maxLength: 4 }),
});

export const Case = {
  acts,
  /** The cases of a seed, the same each time. */
  draw: (seed: number, count: number): readonly Case[] => fc.sample(arbitrary, { seed, numRuns: count }),
};
