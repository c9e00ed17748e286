// How much of a team's quota this proxy may still let in. It asks the quota duty, one question at a time, and
// holds each grant for two seconds. Without an answer it is cut off: then it lets in its even part of the
// quota among the most proxies it ever knew, and no more; in its first seconds, when it may not know the
// others, it rather waits. What it let in is remembered here and told: all of it once, and then twice a second of the
// teams of which the duty's holder believes something else, and of those with steady work; the word speaks for the
// others too. For requests that wait it asks at once and together, only of their teams. A holder that asks for all, or
// did not answer, is told all again at once, for a new one listens but a short while; one that knows no such words, always.
// With each team goes how many proxies this one knew within the span, since a new holder may not know them all.

import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import { UsageWindow } from '../duty/usage-window.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Document } from '../manifest/document.js';
import type { Frame } from '../wire/frame.js';
import { PeakProxyCount } from './peak-proxy-count.js';

export type QuotaLimiter = {
  readonly admit: (team: Compiled.Team, prompt: number) => Promise<QuotaLimiter.Verdict>;
  readonly applyGrants: (
    epoch: number,
    serial: number,
    grants: readonly Frame.Grant[],
    told?: { readonly life?: boolean; readonly whole?: boolean; readonly listening?: boolean },
  ) => void;
  /** The duty's holder, which has not heard this proxy yet, asks for all that it used. */
  readonly reportAll: () => void;
  readonly maintain: () => void;
};

export declare namespace QuotaLimiter {
  type Verdict =
    | { readonly kind: 'in'; readonly refund: () => void }
    | { readonly kind: 'over'; readonly retryAfter: number };
  type Dependencies = {
    readonly proxies: () => number;
    readonly send: (
      serial: number,
      uses: readonly Frame.Use[],
      told: { readonly life: boolean; readonly whole: boolean },
    ) => boolean;
  };
}

type Account = {
  readonly ledger: UsageWindow;
  readonly span: number;
  holds: UsageWindow.Usage;
  until: Instant;
  readonly waiting: Set<UsageWindow.Usage>;
  lately: UsageWindow.Usage;
  touched: Instant;
  chargedAt: Instant;
  isSteady: boolean;
  believed: UsageWindow.Usage | undefined;
};
type Told = ReadonlyMap<string, { readonly spoken: UsageWindow.Usage; readonly isWaiting: boolean }>;
type Question = {
  readonly serial: number;
  told: Told;
  isNoted: boolean;
  readonly at: Instant;
  readonly answered: Promise<boolean>;
  readonly settle: (isAnswered: boolean) => void;
  readonly stopWaiting: () => void;
};

const grantFor = 2000;
const responseWithin = 400;
const waitWhileYoung = 2500;
const youngFor = 5000;

const isEqual = (a: UsageWindow.Usage, b: UsageWindow.Usage | undefined): boolean =>
  a.requests === b?.requests && a.prompt === b.prompt;

const ask = (serial: number, onLate: (question: Question) => void): Question => {
  let settle: (isAnswered: boolean) => void = () => {};
  const answered = new Promise<boolean>((resolve) => {
    settle = resolve;
  });
  const late = Timer.after(responseWithin, () => onLate(made));
  const made: Question = {
    serial,
    told: new Map(),
    isNoted: false,
    at: Instant.now(),
    answered,
    settle,
    stopWaiting: late.stop,
  };
  return made;
};

export const QuotaLimiter = {
  of(needs: QuotaLimiter.Dependencies): QuotaLimiter {
    const accounts = new Map<string, Account>();
    let serial = 0;
    const most = PeakProxyCount.of();
    let epoch = 0;
    const started = Instant.now();
    const isYoung = () => Instant.since(started) < youngFor;
    let open: Question | undefined;
    let isDue = false;
    let isKnown = false;
    const accountOf = (team: string, { span }: Document.Quota): Account => {
      const known = accounts.get(team);
      if (known?.span === span) {
        known.touched = Instant.now();
        return known;
      }
      const made = {
        ledger: UsageWindow.of(span),
        span,
        holds: UsageWindow.zero,
        until: Instant.past,
        waiting: new Set<UsageWindow.Usage>(),
        lately: UsageWindow.zero,
        touched: Instant.now(),
        chargedAt: Instant.past,
        isSteady: false,
        believed: undefined,
      };
      accounts.set(team, made);
      return made;
    };
    const holdsOf = (account: Account): UsageWindow.Usage =>
      Instant.isPast(account.until) ? UsageWindow.zero : account.holds;
    const spokenOf = (account: Account) => UsageWindow.sum(account.ledger.total(), holdsOf(account));
    const isToTell = (account: Account): boolean =>
      !isKnown ||
      !isEqual(spokenOf(account), account.believed) ||
      (account.isSteady && account.lately.requests > 0);
    // What waited for a question without an answer is let in alone in this turn of the event loop; the next question is
    // put after it, so that it tells of them.
    let isSettling = false;
    let put: (() => void) | undefined;
    const fail = (failed: Question) => {
      isSettling = true;
      failed.settle(false);
      setImmediate(() => {
        isSettling = false;
        put?.();
        put = undefined;
      });
    };
    const onLate = (late: Question) => {
      if (!late.isNoted) {
        isDue ||= isKnown;
        isKnown = false;
      }
      fail(late);
    };
    const useOf = ([team, account]: readonly [string, Account]): Frame.Use => ({
      team,
      used: account.ledger.total(),
      holds: holdsOf(account),
      wanted: Instant.since(account.chargedAt) < grantFor ? account.lately : UsageWindow.zero,
      must: [...account.waiting].reduce(UsageWindow.sum, UsageWindow.zero),
      proxies: most.within(account.span + grantFor),
    });
    const tell = (made: Question) => {
      const whole = isDue && !isKnown;
      const told = [...accounts].filter(
        ([, account]) => account.waiting.size > 0 || (isDue && isToTell(account)),
      );
      isDue = false;
      made.told = new Map(
        told.map(([team, account]) => [
          team,
          { spoken: spokenOf(account), isWaiting: account.waiting.size > 0 },
        ]),
      );
      const uses = told.map(useOf);
      for (const [, account] of told) account.lately = UsageWindow.zero;
      if (needs.send(made.serial, uses, { life: isKnown || whole, whole })) return;
      isKnown = false;
      fail(made);
    };
    const question = (): Question => {
      if (open) return open;
      serial += 1;
      const made = ask(serial, onLate);
      open = made;
      void made.answered.then(() => {
        made.stopWaiting();
        if (open === made) open = undefined;
        if (isDue) question();
      });
      if (isSettling) put = () => tell(made);
      else tell(made);
      return made;
    };
    const charge = (account: Account, work: UsageWindow.Usage): QuotaLimiter.Verdict => {
      account.lately = UsageWindow.sum(account.lately, work);
      account.isSteady = Instant.since(account.chargedAt) < grantFor;
      account.chargedAt = Instant.now();
      return { kind: 'in', refund: account.ledger.add(work) };
    };
    const spend = (account: Account, work: UsageWindow.Usage): QuotaLimiter.Verdict | undefined => {
      const { requests, prompt } = holdsOf(account);
      if (requests < work.requests || prompt < work.prompt) return undefined;
      account.holds = { requests: requests - work.requests, prompt: prompt - work.prompt };
      return charge(account, work);
    };
    const spendAlone = (account: Account, quota: Document.Quota, work: UsageWindow.Usage) => {
      const used = UsageWindow.sum(account.ledger.total(), work);
      most.record(needs.proxies());
      const part = 1 / most.allTime();
      const isWithin =
        used.requests <= (quota.requests ?? Number.POSITIVE_INFINITY) * part &&
        used.prompt <= (quota.prompt ?? Number.POSITIVE_INFINITY) * part;
      return isWithin ? charge(account, work) : undefined;
    };
    return {
      async admit({ name, quota }, prompt) {
        if (!quota) return { kind: 'in', refund: () => {} };
        const work = { requests: 1, prompt };
        const account = accountOf(name, quota);
        const asked = Instant.now();
        let isAnswered = true;
        const mayAsk = (round: number) =>
          (round < 2 && isAnswered) || (!isAnswered && isYoung() && Instant.since(asked) < waitWhileYoung);
        account.waiting.add(work);
        try {
          for (let round = 0; mayAsk(round); round += 1) {
            const spent = spend(account, work);
            if (spent) return spent;
            isAnswered = await question().answered;
          }
        } finally {
          account.waiting.delete(work);
        }
        const isAlone = !isAnswered && !isYoung();
        const last = spend(account, work) ?? (isAlone ? spendAlone(account, quota, work) : undefined);
        return (
          last ?? {
            kind: 'over',
            retryAfter: Math.min(quota.span, Math.max(1000, account.ledger.nextExpiryIn())),
          }
        );
      },
      applyGrants(from, answered, grants, { life = false, whole = false, listening = false } = {}) {
        if (from < epoch || open?.serial !== answered) return;
        epoch = from;
        isKnown = life;
        open.isNoted = true;
        for (const [team, { spoken, isWaiting }] of open.told) {
          const account = accounts.get(team);
          if (account) account.believed = listening && !isWaiting ? spoken : undefined;
        }
        isDue ||= whole;
        if (listening) {
          const { settle, stopWaiting } = open;
          if (!whole) return;
          stopWaiting();
          open = undefined;
          void question().answered.then(settle);
          return;
        }
        for (const { team, requests, prompt } of grants) {
          const account = accounts.get(team);
          if (!account) continue;
          account.holds = UsageWindow.sum(holdsOf(account), { requests, prompt });
          account.until = Instant.after(grantFor, open.at);
          const told = open.told.get(team);
          account.believed = told && UsageWindow.sum(told.spoken, { requests, prompt });
        }
        open.settle(true);
      },
      reportAll() {
        isKnown = false;
        isDue = true;
        question();
      },
      maintain() {
        most.record(needs.proxies());
        for (const [team, account] of accounts) {
          const isTold = !isKnown || isEqual(UsageWindow.zero, account.believed);
          if (Instant.since(account.touched) > 2 * account.span && isTold) accounts.delete(team);
        }
        if (accounts.size === 0) return;
        isDue = true;
        question();
      },
    };
  },
};
