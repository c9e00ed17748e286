/**
 * The record of the orders (operators' requests for a change) that were taken, by which a repeated order is
 * recognized. An order is identified in one of two ways: by the operator's own number and the digest of its content, or
 * by a key (an idempotency key, or the revision that If-Match names) and the digest of the request. Entries are short
 * and are kept for thousands of orders.
 *
 * Up to the horizon the record may have gaps: the oldest entries were removed, or the cores formed again and took
 * over the state of nodes, which keep no such record. An unknown order at or below the horizon may have been taken, so
 * it must not be refused; its outcome is reported as unknown.
 */
import { createHash } from 'node:crypto';
import { Revision } from '../common/revision.js';

/** The record of taken orders that is part of a state. */
export type Orders = {
  readonly numbers: readonly Orders.Numbered[];
  readonly answers: readonly Orders.Answer[];
  readonly horizon: Orders.Horizon;
};

export declare namespace Orders {
  /** A taken order that came with the operator's own number. */
  type Numbered = { readonly number: number; readonly digest: string };
  /** A taken order that came with a key, and the revision that it produced. */
  type Answer = { readonly key: string; readonly digest: string; readonly revision: Revision };
  /** The highest number and the highest revision up to which orders may be missing from the record. */
  type Horizon = { readonly number: number; readonly revision: Revision };
  /** What is known of a numbered order; `missing` means that it may have been taken without a record. */
  type NumberStatus = 'taken' | 'missing' | 'new';
  /** The record as any version wrote it: earlier versions kept full keys and digests, and no horizon. */
  type Earlier = Pick<Orders, 'answers'> & Partial<Orders>;
  /** The number and revision of the newest manifest. */
  type Newest = { readonly number: number | undefined; readonly revision: Revision };
}

/** How many numbers, and how many keys, are kept. */
const maxEntries = 4096;
/** Characters of a shortened digest: 96 bits in base64url. */
const digestLength = 16;
/** The key by which earlier versions kept a numbered order. */
const numberedKey = /^number (\d+)$/;

/** A text's digest, cut to 96 bits, which is enough to tell orders apart. */
const shortDigest = (text: string): string =>
  createHash('sha256').update(text).digest('base64url').slice(0, digestLength);

const isSame = (one: Orders.Numbered, number: number, digest: string): boolean =>
  one.number === number && one.digest === digest;

const empty: Orders = { numbers: [], answers: [], horizon: { number: 0, revision: Revision.none } };

const raiseHorizon = (horizon: Orders.Horizon, by: Partial<Orders.Horizon>): Orders.Horizon => ({
  number: Math.max(horizon.number, by.number ?? 0),
  revision: Revision.of(Math.max(horizon.revision, by.revision ?? 0)),
});

const addNumber = (orders: Orders, entry: Orders.Numbered): Orders => {
  if (orders.numbers.some((one) => isSame(one, entry.number, entry.digest))) return orders;
  const numbers = [...orders.numbers, entry];
  const removed = numbers.splice(0, numbers.length - maxEntries);
  const number = Math.max(0, ...removed.map((one) => one.number));
  return { ...orders, numbers, horizon: raiseHorizon(orders.horizon, { number }) };
};

const addAnswer = (orders: Orders, entry: Orders.Answer): Orders => {
  const answers = [...orders.answers, entry];
  const removed = answers.splice(0, answers.length - maxEntries);
  const revision = removed.at(-1)?.revision ?? Revision.none;
  return { ...orders, answers, horizon: raiseHorizon(orders.horizon, { revision }) };
};

/** Adds an order that came with a number. */
const withNumber = (orders: Orders, number: number, digest: string): Orders =>
  addNumber(orders, { number, digest: shortDigest(digest) });

/** Adds an order that came with a key. */
const withAnswer = (orders: Orders, { key, digest, revision }: Orders.Answer): Orders =>
  addAnswer(orders, { key: shortDigest(key), digest: shortDigest(digest), revision });

/** Raises the horizon to the newest manifest: orders up to it may have been taken without an entry here. */
const withGaps = (orders: Orders, newest: Orders.Newest | undefined): Orders => {
  const highest = Math.max(0, newest?.number ?? 0, ...orders.numbers.map((one) => one.number));
  const horizon = { number: highest, revision: newest?.revision ?? Revision.none };
  return { ...orders, horizon: raiseHorizon(orders.horizon, horizon) };
};

const isEarlier = (answer: Orders.Answer): boolean => answer.digest.length !== digestLength;

/**
 * Converts the record to its present form. A record that an earlier version wrote may have gaps, as it is not known how
 * many entries that version removed. This includes entries written between changes of this version during a rolling
 * upgrade.
 */
const upgrade = (stored: Orders.Earlier, newest: Orders.Newest | undefined): Orders => {
  const { numbers = [], answers, horizon = empty.horizon } = stored;
  const earlierAnswers = answers.filter(isEarlier);
  let orders: Orders = { numbers, answers: answers.filter((one) => !isEarlier(one)), horizon };
  if (stored.numbers && earlierAnswers.length === 0) return orders;
  for (const answer of earlierAnswers) {
    const number = numberedKey.exec(answer.key)?.[1];
    orders =
      number === undefined ? withAnswer(orders, answer) : withNumber(orders, Number(number), answer.digest);
  }
  return withGaps(orders, newest);
};

/**
 * Whether a numbered order was taken. If its number is known with another content, that content was taken and this
 * order lost the race, so it counts as new.
 */
const numberStatus = (orders: Orders, number: number, digest: string): Orders.NumberStatus => {
  const shortened = shortDigest(digest);
  if (orders.numbers.some((one) => isSame(one, number, shortened))) return 'taken';
  const hasOtherContent = orders.numbers.some((one) => one.number === number);
  return hasOtherContent || number > orders.horizon.number ? 'new' : 'missing';
};

/** The revision of the order taken with a key, and whether that order has the same digest. */
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
 * Whether an order that replaces a revision may have been taken without an entry. An order's result is later than the
 * revision it replaces, so every order on a revision at or above the horizon has an entry.
 */
const mayBeMissing = (orders: Orders, replaced: Revision): boolean => replaced < orders.horizon.revision;

/** Adds orders to the record and looks them up. */
export const Orders = {
  empty,
  shortDigest,
  withNumber,
  withAnswer,
  withGaps,
  upgrade,
  numberStatus,
  findAnswer,
  mayBeMissing,
};
