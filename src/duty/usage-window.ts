/**
 * Usage within a sliding window, kept in time slots. A slot counts until all of it is older than the window, so the sum is
 * never too low.
 */
import { Instant } from '../common/instant.js';

/** Sums the usage within a sliding window. */
export type UsageWindow = {
  /** Adds usage; the returned function reverts it. */
  readonly add: (usage: UsageWindow.Usage) => () => void;
  /** The usage within the window. */
  readonly total: () => UsageWindow.Usage;
  /** Milliseconds until the oldest slot expires; 0 if there is none. */
  readonly nextExpiryIn: () => number;
};

/** Amounts of usage. */
export declare namespace UsageWindow {
  /** A number of requests and the total size of their prompts. */
  type Usage = { readonly requests: number; readonly prompt: number };
}

type Slot = { requests: number; prompt: number; readonly from: Instant };

const slotCount = 40;

/** Creates windows and adds usage. */
export const UsageWindow = {
  zero: { requests: 0, prompt: 0 } as UsageWindow.Usage,
  sum: (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
    requests: a.requests + b.requests,
    prompt: a.prompt + b.prompt,
  }),
  /** What the first amount exceeds the second one by; 0 where it does not. */
  difference: (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
    requests: Math.max(0, a.requests - b.requests),
    prompt: Math.max(0, a.prompt - b.prompt),
  }),
  /** Whether the first amount is at least as large as the second one. */
  covers: (a: UsageWindow.Usage, b: UsageWindow.Usage): boolean =>
    a.requests >= b.requests && a.prompt >= b.prompt,
  larger: (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
    requests: Math.max(a.requests, b.requests),
    prompt: Math.max(a.prompt, b.prompt),
  }),
  smaller: (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
    requests: Math.min(a.requests, b.requests),
    prompt: Math.min(a.prompt, b.prompt),
  }),
  of(span: number): UsageWindow {
    const slotMs = span / slotCount;
    let slots: Slot[] = [];
    const removeExpired = () => {
      slots = slots.filter((slot) => Instant.since(slot.from) <= span + slotMs);
    };
    return {
      add({ requests, prompt }) {
        const last = slots.at(-1);
        const slot =
          last && Instant.since(last.from) < slotMs ? last : { requests: 0, prompt: 0, from: Instant.now() };
        if (slot !== last) slots.push(slot);
        slot.requests += requests;
        slot.prompt += prompt;
        return () => {
          slot.requests -= requests;
          slot.prompt -= prompt;
        };
      },
      total() {
        removeExpired();
        return slots.reduce<UsageWindow.Usage>(UsageWindow.sum, UsageWindow.zero);
      },
      nextExpiryIn() {
        removeExpired();
        const first = slots[0];
        return first ? Math.max(0, span + slotMs - Instant.since(first.from)) : 0;
      },
    };
  },
};
