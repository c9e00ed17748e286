// What was used within the last span, kept in a few dozen slots. A slot counts until all of it is older than
// the span, so the sum is never too low.
import { Instant } from '../common/instant.js';

export type UsageWindow = {
  readonly add: (work: UsageWindow.Usage) => () => void;
  readonly total: () => UsageWindow.Usage;
  readonly nextExpiryIn: () => number;
};

export declare namespace UsageWindow {
  type Usage = { readonly requests: number; readonly prompt: number };
}

type Slot = { requests: number; prompt: number; readonly from: Instant };

const slots = 40;

export const UsageWindow = {
  zero: { requests: 0, prompt: 0 } as UsageWindow.Usage,
  sum: (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
    requests: a.requests + b.requests,
    prompt: a.prompt + b.prompt,
  }),
  of(span: number): UsageWindow {
    const grain = span / slots;
    let held: Slot[] = [];
    const prune = () => {
      held = held.filter((slot) => Instant.since(slot.from) <= span + grain);
    };
    return {
      add({ requests, prompt }) {
        const last = held.at(-1);
        const slot =
          last && Instant.since(last.from) < grain ? last : { requests: 0, prompt: 0, from: Instant.now() };
        if (slot !== last) held.push(slot);
        slot.requests += requests;
        slot.prompt += prompt;
        return () => {
          slot.requests -= requests;
          slot.prompt -= prompt;
        };
      },
      total() {
        prune();
        return held.reduce<UsageWindow.Usage>(UsageWindow.sum, UsageWindow.zero);
      },
      nextExpiryIn() {
        prune();
        const first = held[0];
        return first ? Math.max(0, span + grain - Instant.since(first.from)) : 0;
      },
    };
  },
};
