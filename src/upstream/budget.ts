// Tokens for extra tries. Each real request earns a fifth of one, every try beyond a request's first
// spends a whole one, and none is ever made in another way, so that over all nodes together extra
// tries stay below a fifth of real requests. Tokens grow old: what is earned in one window ends with
// the next.
import { Moment } from '../kinds/moment.js';

export type Budget = {
  readonly earn: () => void;
  readonly spend: () => boolean;
  readonly held: () => number;
};

const share = 0.2;
const windowSpan = 10_000;

export const Budget = {
  share,
  of(): Budget {
    let began = Moment.now();
    let now = 0;
    let before = 0;
    const turn = () => {
      const passed = Moment.since(began);
      if (passed < windowSpan) return;
      before = passed < 2 * windowSpan ? now : 0;
      now = 0;
      began = Moment.now();
    };
    return {
      held() {
        turn();
        return now + before;
      },
      earn() {
        turn();
        now += share;
      },
      spend() {
        turn();
        if (now + before < 1 - 1e-9) return false;
        const old = Math.min(before, 1);
        before -= old;
        now -= 1 - old;
        return true;
      },
    };
  },
};
