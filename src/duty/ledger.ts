// What was used within the last span, kept in a few dozen slots. A slot counts until all of it is older than
// the span, so the sum is never too low.
import { Instant } from '../common/instant.js';

export type Ledger = {
  readonly add: (work: Ledger.Work) => () => void;
  readonly total: () => Ledger.Work;
  readonly freesIn: () => number;
};

export declare namespace Ledger {
  type Work = { readonly requests: number; readonly prompt: number };
}

type Slot = { requests: number; prompt: number; readonly from: Instant };

const slots = 40;

export const Ledger = {
  none: { requests: 0, prompt: 0 } as Ledger.Work,
  sum: (a: Ledger.Work, b: Ledger.Work): Ledger.Work => ({
    requests: a.requests + b.requests,
    prompt: a.prompt + b.prompt,
  }),
  of(span: number): Ledger {
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
        return held.reduce<Ledger.Work>(Ledger.sum, Ledger.none);
      },
      freesIn() {
        prune();
        const first = held[0];
        return first ? Math.max(0, span + grain - Instant.since(first.from)) : 0;
      },
    };
  },
};
