// All tries of one request. A generator decides: it yields what to do next, is told how that ended,
// and returns the verdict; the task around it does the work. A once rule is tried again only when the
// request certainly was not run. Every try beyond the first needs a token, and one deadline and hop
// budget bound them all. A verdict is given the moment it is known; only a stream that broke waits for its token.
import { match } from 'ts-pattern';
import type { Ident } from '../kinds/ident.js';
import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Budget } from './budget.js';
import { Candidate } from './candidate.js';
import type { Placement } from './placement.js';
import { RetryAfter } from './retry-after.js';
import type { Trial } from './trial.js';
import { Weights } from './weights.js';

export type Tries =
  | {
      readonly kind: 'stream';
      readonly trial: Extract<Trial, { kind: 'stream' }>;
      readonly tries: number;
      /** How many servers the request was sent to in all, those before a stream broke among them. */
      readonly sent: number;
    }
  | {
      readonly kind: 'response';
      readonly trial: Extract<Trial, { kind: 'response' }>;
      readonly tries: number;
      readonly isNotRun: boolean;
    }
  | {
      readonly kind: 'refusal';
      readonly status: 502 | 503 | 504;
      readonly why: Tries.Why;
      readonly retryAfter: number;
      readonly tries: number;
    };

export declare namespace Tries {
  type Why = Trial.Why | 'no_server' | 'budget' | 'refused' | 'attempts';
  type Plan = {
    readonly rule: Compiled.Rule;
    readonly regions: readonly Ident.Region[];
    readonly key: string | undefined;
    readonly want: Placement.Request;
    readonly before: { readonly tried: readonly string[]; readonly sent: number };
    readonly deadline: Moment;
    readonly signal: AbortSignal;
    readonly budget: Budget;
    readonly pick: () => Candidate.Needs;
    readonly run: (pick: Candidate, tier: Candidate.Tier, hops: number) => Promise<Trial>;
    readonly note: (trial: Trial, isExtra: boolean) => void;
  };
  type Step =
    | { readonly kind: 'try'; readonly pick: Candidate; readonly tier: Candidate.Tier; readonly hops: number }
    | { readonly kind: 'pause'; readonly span: number }
    | { readonly kind: 'token'; readonly span: number };
}

const longestRetryAfter = 5000;
const mostUnsent = 6;
const grantWithin = 300;

const isSurelyNotRun = (trial: Trial): boolean =>
  trial.kind === 'unsent' ||
  (trial.kind === 'response' && trial.pick.group.isNotRun(trial.status, trial.headers));

const isRetriable = (trial: Trial, { on, codes }: Compiled.Retry): boolean =>
  match(trial)
    .with({ kind: 'stream' }, () => false)
    .with({ kind: 'unsent' }, ({ why }) => why !== 'left' && why !== 'total' && on.has('connect-failure'))
    .with({ kind: 'lost', why: 'reset' }, () => on.has('reset') || on.has('5xx'))
    .with(
      { kind: 'lost' },
      ({ why }) =>
        why !== 'left' && why !== 'total' && (on.has('5xx') || on.has('gateway-error') || on.has('reset')),
    )
    .with(
      { kind: 'response' },
      ({ status }) =>
        (isSurelyNotRun(trial) && on.has('refused-stream')) ||
        (status >= 500 && on.has('5xx')) ||
        (status >= 502 && status <= 504 && on.has('gateway-error')) ||
        (codes.has(status) && on.has('retriable-status-codes')),
    )
    .exhaustive();

const backOff = (retry: Compiled.Retry, count: number, random: () => number): number =>
  Math.min(retry.max, retry.base * 2 ** count) * (0.5 + random() / 2);

function* decide(plan: Tries.Plan): Generator<Tries.Step, Tries, Trial | undefined> {
  const { rule } = plan;
  const tiers = Candidate.tiers(rule, plan.regions);
  const tried = new Set<string>(plan.before.tried);
  let tries = 0;
  let sent = plan.before.sent;
  let retries = Math.max(0, sent);
  let hops = 0;
  let tierIndex = 0;
  let mayHaveRun = false;
  let last: Trial | undefined;
  let retryAfter = 0;

  const choose = (from: number, isUntried: boolean): { pick: Candidate; index: number } | undefined => {
    const needs = plan.pick();
    for (let index = from; index < tiers.length; index += 1) {
      const open = Candidate.eligible(tiers[index]!, needs).filter(
        ({ server }) =>
          needs.ejector.backoffLeft(server) === 0 && (!isUntried || !tried.has(server.instance)),
      );
      const drawn = rule.weights ? Weights.draw(open, rule.weights, needs.random) : open;
      const want = rule.aim === undefined ? undefined : plan.want;
      const pick = Candidate.choose(drawn, rule.isAffine ? plan.key : undefined, needs, want);
      if (pick) return { pick, index };
    }
    return undefined;
  };
  const verdict = (why?: Tries.Why): Tries => {
    if (last?.kind === 'response' && why === undefined && !isSurelyNotRun(last) && last.status < 500)
      return { kind: 'response', trial: last, tries, isNotRun: false };
    const cause: Tries.Why =
      last?.kind === 'lost' || last?.kind === 'unsent' ? last.why : last ? 'refused' : (why ?? 'no_server');
    const isTimeout = ['first_byte', 'per_try', 'total', 'late'].includes(cause);
    const status = !mayHaveRun ? 503 : isTimeout ? 504 : 502;
    return { kind: 'refusal', status, why: why ?? cause, retryAfter, tries };
  };
  const isResumed = sent > 0;
  const isOver = () => plan.signal.aborted || Moment.isPast(plan.deadline);

  if (sent > rule.retry.count) return verdict('attempts');
  if (sent > 0 && isOver()) return verdict('total');
  let next = choose(0, true);
  if (!next) {
    const needs = plan.pick();
    const rests = tiers.flatMap((tier) =>
      Candidate.eligible(tier, needs).map(({ server }) => needs.ejector.backoffLeft(server)),
    );
    retryAfter = rests.length > 0 ? Math.min(...rests) : 0;
    return verdict('no_server');
  }
  for (;;) {
    const isExtra = sent > 0;
    if (isExtra && !plan.budget.spend()) {
      if (!isResumed) return verdict('budget');
      const until = Moment.after(grantWithin);
      do {
        if (isOver() || Moment.isPast(until)) return verdict('budget');
        yield { kind: 'token', span: Moment.left(until) };
      } while (!plan.budget.spend());
      const anew = choose(tierIndex, true);
      if (!anew || (anew.index > tierIndex && hops >= rule.hops)) return verdict('no_server');
      if (anew.index > tierIndex) hops += 1;
      next = anew;
    }
    tierIndex = next.index;
    tried.add(next.pick.server.instance);
    const trial = yield { kind: 'try', pick: next.pick, tier: tiers[tierIndex]!, hops };
    if (!trial) return verdict();
    plan.note(trial, isExtra);
    tries += 1;
    last = trial;
    const isFree =
      trial.kind === 'unsent' &&
      (trial.pick.group.proof !== undefined || ['full', 'slow'].includes(trial.why));
    if (!isFree) sent += 1;
    if (trial.kind === 'stream') return { kind: 'stream', trial, tries, sent };
    if (!isSurelyNotRun(trial)) mayHaveRun = true;
    if (trial.kind === 'response') {
      const asked = RetryAfter.read(trial.headers);
      if (asked !== undefined) {
        retryAfter = Math.max(retryAfter, asked);
        plan.pick().ejector.backOff(trial.pick.server, Math.min(asked, longestRetryAfter));
      }
    }
    if (isOver()) return verdict();
    if (!isRetriable(trial, rule.retry)) return verdict();
    if (rule.isOnce && mayHaveRun) return verdict();
    if (isFree && tries > mostUnsent) return verdict();
    const canRetry = isFree || retries < rule.retry.count;
    const untried = choose(canRetry ? tierIndex : tierIndex + 1, true);
    const isHop = untried !== undefined && untried.index > tierIndex;
    if (untried && (!isHop || hops < rule.hops)) {
      if (!isFree) {
        plan.budget.want();
        yield { kind: 'pause', span: backOff(rule.retry, retries, plan.pick().random) };
        if (!isHop) retries += 1;
      }
    } else if (canRetry) {
      const open = Candidate.eligible(tiers[tierIndex]!, plan.pick());
      const rests = open.map(({ server }) => plan.pick().ejector.backoffLeft(server));
      const wait = Math.max(
        Math.min(...rests, longestRetryAfter),
        backOff(rule.retry, retries, plan.pick().random),
      );
      if (open.length === 0 || wait >= Moment.left(plan.deadline)) return verdict();
      plan.budget.want();
      yield { kind: 'pause', span: wait };
      retries += 1;
    } else return verdict();
    if (isOver()) return verdict();
    const chosen = choose(isHop ? tierIndex + 1 : tierIndex, true) ?? choose(tierIndex, false);
    if (!chosen) return verdict();
    if (chosen.index > tierIndex && hops >= rule.hops) return verdict();
    if (chosen.index > tierIndex) hops += 1;
    next = chosen;
  }
}

export const Tries = {
  async run(plan: Tries.Plan): Promise<Tries> {
    const course = decide(plan);
    let told: Trial | undefined;
    for (;;) {
      const step = course.next(told);
      if (step.done) return step.value;
      if (step.value.kind === 'try') {
        if (told === undefined && plan.before.sent === 0) plan.budget.earn();
        told = await plan.run(step.value.pick, step.value.tier, step.value.hops);
      } else {
        const span = Math.min(step.value.span, Moment.left(plan.deadline));
        if (step.value.kind === 'token') await plan.budget.arrival(span, plan.signal);
        else await Timer.pause(span, plan.signal);
      }
    }
  },
};
