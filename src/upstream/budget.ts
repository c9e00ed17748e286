// Tokens for extra tries at one proxy. Each real request earns a fifth of one, every try beyond a
// request's first spends a whole one, and none is ever made in another way, so that over all nodes
// together extra tries stay below a fifth of real requests. What this proxy has no use for goes to the
// pool; one token is topped up from it, and a try that finds none asks for more; one that takes up a broken stream
// waits a little for it. Grants from below the epoch it has seen are dropped. Beside the earned ones the operator may allow so many tries in any window over all
// proxies whatever was asked: each proxy spends its even part of a portion of those, by the most proxies it ever knew
// of, so that restarts and cuts leave the sum below the whole.
import { Purse } from '../duty/purse.js';
import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';

export type Budget = {
  readonly earn: () => void;
  readonly spend: () => boolean;
  readonly want: () => void;
  /** Resolves once a token is held, and without one after the span; asks the pool meanwhile. */
  readonly arrival: (span: number, signal: AbortSignal) => Promise<void>;
  readonly held: () => number;
  readonly grant: (epoch: number, batches: readonly Purse.Batch[]) => void;
  readonly tend: () => void;
};

export declare namespace Budget {
  type Allowance = { readonly tries: number; readonly window: number; readonly proxies: () => number };
}

const whole = 1000;
const earned = 200;
const reserve = whole;
const least = 250;
const asked = 3 * whole;
const askAgainAfter = 50;
const portion = 0.35;

export const Budget = {
  of(
    send: (batches: readonly Purse.Batch[], wanted: number) => boolean = () => false,
    allowance?: Budget.Allowance,
  ): Budget {
    let most = 0;
    let spent: Moment[] = [];
    const spendAllowed = (): boolean => {
      if (!allowance) return false;
      most = Math.max(most, allowance.proxies());
      spent = spent.filter((at) => Moment.since(at) < allowance.window);
      if (most === 0 || spent.length >= Math.floor((allowance.tries * portion) / most)) return false;
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
      want,
      async arrival(span, signal) {
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
      tend() {
        const surplus = purse.total() - reserve;
        if (surplus <= -least) send([], -surplus);
        if (surplus < least) return;
        const batches = purse.take(surplus, true);
        if (batches && !send(batches, 0)) purse.add(batches);
      },
    };
  },
};
