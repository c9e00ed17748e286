// The record of orders that were taken, by which an order that is sent again is known. Two ways name an order: the
// operator's own number with the digest of what it holds, or a key (an idempotency key, or the revision that
// If-Match names) with the digest of the request. Records are short and kept for thousands of orders. Below the
// horizon the record may have gaps: the oldest were removed, or the cores formed anew and took
// what nodes held, who keep no records. An order at or below it that is not known may have been taken, so it
// must not be refused: it is left without a clear answer.
import { createHash } from 'node:crypto';
import { Revision } from '../kinds/revision.js';

/** What a state keeps of the orders that made it. */
export type Orders = {
  readonly numbers: readonly Orders.Numbered[];
  readonly answers: readonly Orders.Answer[];
  readonly horizon: Orders.Horizon;
};

export declare namespace Orders {
  /** A taken order that came under the operator's own number. */
  type Numbered = { readonly number: number; readonly digest: string };
  /** A taken order that came under a key, and the revision that it led to. */
  type Answer = { readonly key: string; readonly digest: string; readonly revision: Revision };
  /** The highest number and the highest revision up to which orders may be missing from the record. */
  type Horizon = { readonly number: number; readonly revision: Revision };
  /** What is known of an order under a number: `missing` is one that may have been taken without a record. */
  type Numbering = 'taken' | 'missing' | 'new';
  /** Orders as a state of any version holds them: earlier ones kept full keys and digests, and no horizon. */
  type Earlier = Pick<Orders, 'answers'> & Partial<Orders>;
  /** What the newest manifest tells of itself. */
  type Newest = { readonly number: number | undefined; readonly revision: Revision };
}

const kept = 4096;
const digestLength = 16;
const numberedKey = /^number (\d+)$/;

/** 96 bits of a text's digest, enough to tell orders apart. */
const shortDigest = (text: string): string =>
  createHash('sha256').update(text).digest('base64url').slice(0, digestLength);

const isSame = (one: Orders.Numbered, number: number, digest: string): boolean =>
  one.number === number && one.digest === digest;

const empty: Orders = { numbers: [], answers: [], horizon: { number: 0, revision: Revision.none } };

const raise = (horizon: Orders.Horizon, by: Partial<Orders.Horizon>): Orders.Horizon => ({
  number: Math.max(horizon.number, by.number ?? 0),
  revision: Revision.of(Math.max(horizon.revision, by.revision ?? 0)),
});

const keepNumber = (orders: Orders, made: Orders.Numbered): Orders => {
  if (orders.numbers.some((one) => isSame(one, made.number, made.digest))) return orders;
  const numbers = [...orders.numbers, made];
  const removed = numbers.splice(0, numbers.length - kept);
  const number = Math.max(0, ...removed.map((one) => one.number));
  return { ...orders, numbers, horizon: raise(orders.horizon, { number }) };
};

const keepAnswer = (orders: Orders, made: Orders.Answer): Orders => {
  const answers = [...orders.answers, made];
  const removed = answers.splice(0, answers.length - kept);
  const revision = removed.at(-1)?.revision ?? Revision.none;
  return { ...orders, answers, horizon: raise(orders.horizon, { revision }) };
};

/** Keeps an order that came under a number. */
const withNumber = (orders: Orders, number: number, digest: string): Orders =>
  keepNumber(orders, { number, digest: shortDigest(digest) });

/** Keeps an order that came under a key. */
const withAnswer = (orders: Orders, { key, digest, revision }: Orders.Answer): Orders =>
  keepAnswer(orders, { key: shortDigest(key), digest: shortDigest(digest), revision });

/** Says that orders up to the newest manifest may have been taken without a record here. */
const withGaps = (orders: Orders, newest: Orders.Newest | undefined): Orders => {
  const highest = Math.max(0, newest?.number ?? 0, ...orders.numbers.map((one) => one.number));
  const horizon = { number: highest, revision: newest?.revision ?? Revision.none };
  return { ...orders, horizon: raise(orders.horizon, horizon) };
};

const isEarlier = (answer: Orders.Answer): boolean => answer.digest.length !== digestLength;

/**
 * The record in its present form. Whatever an earlier version wrote, also between two changes of this one during
 * a roll-out, may have gaps: how many orders it had removed is not known.
 */
const upgrade = (held: Orders.Earlier, newest: Orders.Newest | undefined): Orders => {
  const { numbers = [], answers, horizon = empty.horizon } = held;
  const earlier = answers.filter(isEarlier);
  let orders: Orders = { numbers, answers: answers.filter((one) => !isEarlier(one)), horizon };
  if (held.numbers && earlier.length === 0) return orders;
  for (const answer of earlier) {
    const number = numberedKey.exec(answer.key)?.[1];
    orders =
      number === undefined ? withAnswer(orders, answer) : withNumber(orders, Number(number), answer.digest);
  }
  return withGaps(orders, newest);
};

/**
 * Whether an order under a number was taken. A number that is known with another content was taken with that:
 * the order lost its race.
 */
const numberStatus = (orders: Orders, number: number, digest: string): Orders.Numbering => {
  const shortened = shortDigest(digest);
  if (orders.numbers.some((one) => isSame(one, number, shortened))) return 'taken';
  const isOther = orders.numbers.some((one) => one.number === number);
  return isOther || number > orders.horizon.number ? 'new' : 'missing';
};

/** The revision of the order taken under a key, and whether its digest is the one asked for. */
const findAnswer = (
  orders: Orders,
  key: string,
  digest: string,
): { readonly revision: Revision; readonly isSame: boolean } | undefined => {
  const shortened = shortDigest(key);
  const found = orders.answers.findLast((one) => one.key === shortened);
  return found && { revision: found.revision, isSame: found.digest === shortDigest(digest) };
};

/**
 * Whether an order that replaces a revision may have been taken without a record. What it led to came after
 * the revision it replaced, so from the horizon on every such order is known.
 */
const mayBeMissing = (orders: Orders, replaced: Revision): boolean => replaced < orders.horizon.revision;

export const Orders = {
  empty,
  shortDigest: shortDigest,
  withNumber,
  withAnswer,
  withGaps,
  upgrade,
  numberStatus: numberStatus,
  findAnswer: findAnswer,
  mayBeMissing,
};
