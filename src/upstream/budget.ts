// Tokens for extra tries at one proxy. Each real request earns a fifth of one, every try beyond a
// request's first spends a whole one, and none is ever made in another way, so that over all nodes
// together extra tries stay below a fifth of real requests. What this proxy has no use for goes to the
// pool; one token is topped up from it, and a try that finds none asks for more; one that takes up a broken stream
// waits a little for it. Grants from below the epoch it has seen are dropped. Beside the earned ones the operator may allow so many tries in any window over all
// proxies whatever was asked: each proxy spends its even part of a portion of those, by the most proxies it ever knew
// of, so that restarts and cuts leave the sum below the whole. A part below one is one try in a longer window, as long
// as one from every proxy at once stays within half of what is allowed. While a proxy still learns of others, it
// spends none, since its part would be too large.
import { Purse } from '../duty/purse.js';
import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';

export type Budget = {
  readonly earn: () => void;
  readonly spend: () => boolean;
  readonly requestTokens: () => void;
  /** Resolves once a token is held, and without one after the span; asks the pool meanwhile. */
  readonly waitForToken: (span: number, signal: AbortSignal) => Promise<void>;
  readonly held: () => number;
  readonly grant: (epoch: number, batches: readonly Purse.Batch[]) => void;
  readonly maintain: () => void;
};

export declare namespace Budget {
  type Allowance = { readonly tries: number; readonly window: number; readonly proxies: () => number };
}

const whole = 1000;
const earned = 200;
const reserve = whole;
/** How much longer a token must stay good to count as reserve, in milliseconds: a try may wait so long before it fails. */
const reserveLasts = 2000;
const least = 250;
const asked = 3 * whole;
const askAgainAfter = 50;
const portion = 0.35;
const mostAtOnce = 0.5;
const settledAfter = 2000;

export const Budget = {
  of(
    send: (batches: readonly Purse.Batch[], wanted: number) => boolean = () => false,
    allowance?: Budget.Allowance,
  ): Budget {
    let most = 0;
    let grewAt = Moment.past;
    let spent: Moment[] = [];
    const know = () => {
      const now = allowance?.proxies() ?? 0;
      if (now <= most) return;
      most = now;
      grewAt = Moment.now();
    };
    const spendAllowed = (): boolean => {
      if (!allowance) return false;
      know();
      if (most === 0 || Moment.since(grewAt) < settledAfter) return false;
      const part = (allowance.tries * portion) / most;
      if (part < 1 && most > allowance.tries * mostAtOnce) return false;
      const window = allowance.window / Math.min(1, part);
      spent = spent.filter((at) => Moment.since(at) < window);
      if (spent.length >= Math.max(1, Math.floor(part))) return false;
      spent.push(Moment.now());
      return true;
    };
    const purse = Purse.of();
    let epoch = 0;
    let askedAt = 0 as Moment;
    let waiting = 0;
    const wakes = new Set<() => void>();
    const isHeld = () => purse.total() >= whole;
    const want = () => {
      if (isHeld() || Moment.since(askedAt) < askAgainAfter) return;
      askedAt = Moment.now();
      send([], Math.max(asked, waiting * whole));
    };
    return {
      held: () => purse.total() / whole,
      earn: () => purse.add([{ amount: earned, age: 0 }]),
      spend: () => purse.take(whole) !== undefined || spendAllowed(),
      requestTokens: want,
      async waitForToken(span, signal) {
        const until = Moment.after(span);
        waiting += 1;
        while (!isHeld() && !Moment.isPast(until) && !signal.aborted) {
          want();
          const rest = new AbortController();
          const wake = () => rest.abort();
          wakes.add(wake);
          signal.addEventListener('abort', wake, { once: true });
          await Timer.pause(Math.min(askAgainAfter, Moment.left(until)), rest.signal);
          signal.removeEventListener('abort', wake);
          wakes.delete(wake);
        }
        waiting -= 1;
      },
      grant(from, batches) {
        if (from < epoch) return;
        epoch = from;
        purse.add(batches);
        for (const wake of [...wakes]) wake();
      },
      maintain() {
        know();
        const missing = reserve - purse.total();
        if (missing >= least) send([], missing);
        const surplus = purse.total(reserveLasts) - reserve;
        if (surplus < least) return;
        const batches = purse.take(surplus, true);
        if (batches && !send(batches, 0)) purse.add(batches);
      },
    };
  },
};
