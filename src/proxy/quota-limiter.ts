/**
 * Admission of requests against team quotas. The proxy requests grants from the holder of the quota duty, one request at a
 * time, and may spend each grant for two seconds. What the holder has recorded of it for a team, admitted or granted, is its
 * lease: the holder grants no more than the rest of the quota to others. If no response arrives, the proxy goes on admitting
 * within its lease, as what it had admitted leaves the span, until the lease expires. Shortly after its start it waits instead.
 *
 * The proxy keeps a record of what it admitted and reports it: all teams once, and then, twice a second, those teams
 * whose usage differs from what the holder last received and those with steady traffic. Each report also renews the
 * entries of the other teams. Requests that wait for a grant trigger a report at once, together, for their teams only. A
 * holder that asks for a full report, or that did not respond, gets a full report at once, because a new holder collects
 * reports only for a short time. A holder of an earlier version, which does not support incremental reports, always gets
 * full ones.
 *
 * Each report states how many proxies this one has known within the quota's span, because a new holder may not know all.
 */
import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import { LeaseLedger } from '../duty/lease-ledger.js';
import { UsageWindow } from '../duty/usage-window.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Document } from '../manifest/document.js';
import type { Frame } from '../wire/frame.js';
import { PeakProxyCount } from './peak-proxy-count.js';
import { QuotaAccount } from './quota-account.js';

/** Admits requests against the quotas of their teams. */
export type QuotaLimiter = {
  /** Charges a request with the given prompt size to its team, or refuses it. */
  readonly admit: (
    team: Pick<Compiled.Team, 'name' | 'quota'>,
    prompt: number,
  ) => Promise<QuotaLimiter.Verdict>;
  /** Applies the response of the duty holder under the given epoch to the request with this serial. */
  readonly applyGrants: (
    epoch: number,
    serial: number,
    grants: readonly Frame.Grant[],
    flags?: Pick<Extract<Frame.Body, { kind: 'tokens' }>, 'life' | 'whole' | 'listening' | 'fromAllowance'>,
  ) => void;
  /** Sends a full report; the duty holder, which has no report of this proxy yet, requested it. */
  readonly reportAll: () => void;
  /** Sends the periodic report and forgets idle teams; called twice a second. */
  readonly maintain: () => void;
};

/** Results and dependencies of the limiter. */
export declare namespace QuotaLimiter {
  /** Whether the request is admitted; `refund` reverts the charge. `retryAfter` is in milliseconds. */
  type Verdict =
    | { readonly kind: 'in'; readonly refund: () => void }
    | { readonly kind: 'over'; readonly retryAfter: number };
  /** What the limiter needs from the proxy. */
  type Dependencies = {
    /** Number of live proxies that this one knows. */
    readonly proxies: () => number;
    /** Sends a report to the duty holder; false if there is no connection. */
    readonly send: (
      serial: number,
      uses: readonly Frame.Use[],
      flags: { readonly life: boolean; readonly whole: boolean },
    ) => boolean;
  };
}

type GrantRequest = {
  readonly serial: number;
  /** What was reported, by team. */
  teams: ReadonlyMap<string, QuotaAccount.Report>;
  isAcknowledged: boolean;
  readonly at: Instant;
  readonly answered: Promise<boolean>;
  readonly resolve: (isAnswered: boolean) => void;
  readonly cancelTimeout: () => void;
};

/** How long requests are refused without a question after the holder granted nothing. */
const exhaustedMs = 250;
/** Time after which a request for grants counts as unanswered. */
const responseTimeoutMs = 400;
/** Longest time that a request waits for an answer while the proxy is starting up. */
const maxStartupWaitMs = 2500;
/** Time after the start in which the proxy may not know the other proxies yet. */
const startupMs = 5000;

const isEqual = (a: UsageWindow.Usage, b: UsageWindow.Usage | undefined): boolean =>
  a.requests === b?.requests && a.prompt === b.prompt;

const isEmpty = (grant: Frame.Grant): boolean => grant.requests === 0 && grant.prompt === 0;

const openRequest = (serial: number, onTimeout: (request: GrantRequest) => void): GrantRequest => {
  let resolve: (isAnswered: boolean) => void = () => {};
  const answered = new Promise<boolean>((resolvePromise) => {
    resolve = resolvePromise;
  });
  const timeout = Timer.after(responseTimeoutMs, () => onTimeout(request));
  const request: GrantRequest = {
    serial,
    teams: new Map(),
    isAcknowledged: false,
    at: Instant.now(),
    answered,
    resolve,
    cancelTimeout: timeout.stop,
  };
  return request;
};

/** Creates quota limiters. */
export const QuotaLimiter = {
  of(dependencies: QuotaLimiter.Dependencies): QuotaLimiter {
    const accounts = new Map<string, QuotaAccount>();
    let serial = 0;
    const proxyCount = PeakProxyCount.of();
    let epoch = 0;
    const started = Instant.now();
    const isStartingUp = () => Instant.since(started) < startupMs;
    let pending: GrantRequest | undefined;
    let isReportDue = false;
    let isRegistered = false;
    /** Since when the holder has granted nothing because it did not answer. */
    let aloneSince: Instant | undefined;
    let registeredUntil = Instant.past;
    const isAlone = () => aloneSince !== undefined;
    const contact = { isAlone, registeredUntil: () => registeredUntil };
    const accountOf = (team: string, { span }: Document.Quota): QuotaAccount => {
      const known = accounts.get(team);
      const account = known?.spanMs === span ? known : QuotaAccount.of(span, contact);
      account.lastUsedAt = Instant.now();
      accounts.set(team, account);
      return account;
    };
    const needsReport = (account: QuotaAccount): boolean =>
      !isRegistered || !isEqual(account.describe().reported, account.acknowledged) || account.hasSteadyUse();
    // When a request for grants fails, the waiting requests are admitted by the lease in this turn of the event loop.
    // The next report is sent after that turn, so that it includes them.
    let isFailing = false;
    let sendDeferred: (() => void) | undefined;
    const failRequest = (failed: GrantRequest) => {
      aloneSince ??= failed.at;
      isFailing = true;
      failed.resolve(false);
      setImmediate(() => {
        isFailing = false;
        sendDeferred?.();
        sendDeferred = undefined;
      });
    };
    const onTimeout = (late: GrantRequest) => {
      if (!late.isAcknowledged) {
        isReportDue ||= isRegistered;
        isRegistered = false;
      }
      failRequest(late);
    };
    const sendReport = (request: GrantRequest) => {
      const whole = isReportDue && !isRegistered;
      const told = [...accounts].filter(
        ([, account]) => account.waiting.size > 0 || (isReportDue && needsReport(account)),
      );
      isReportDue = false;
      request.teams = new Map(told.map(([team, account]) => [team, account.describe()]));
      const uses = told.map(([team, account]) => account.toWire(team, proxyCount));
      for (const [team, account] of told) account.markReported(request.teams.get(team)!);
      if (dependencies.send(request.serial, uses, { life: isRegistered || whole, whole })) return;
      isRegistered = false;
      failRequest(request);
    };
    const requestGrants = (): GrantRequest => {
      if (pending) return pending;
      serial += 1;
      const request = openRequest(serial, onTimeout);
      pending = request;
      void request.answered.then(() => {
        request.cancelTimeout();
        if (pending === request) pending = undefined;
        if (isReportDue) requestGrants();
      });
      if (isFailing) sendDeferred = () => sendReport(request);
      else sendReport(request);
      return request;
    };
    const renewLeases = ({ teams, at }: GrantRequest, areAllRenewed: boolean) => {
      if (areAllRenewed) registeredUntil = Instant.after(LeaseLedger.lifetimeMs, at);
      for (const [team, report] of teams) accounts.get(team)?.renewLease(report, at);
    };
    return {
      async admit({ name, quota }, prompt) {
        if (!quota) return { kind: 'in', refund: () => {} };
        const usage = { requests: 1, prompt };
        const account = accountOf(name, quota);
        const askedAt = Instant.now();
        let isAnswered = true;
        const mayAsk = (round: number) =>
          (round < 2 && isAnswered && Instant.isPast(account.exhaustedUntil)) ||
          (!isAnswered && isStartingUp() && Instant.since(askedAt) < maxStartupWaitMs);
        account.waiting.add(usage);
        const spend = (): QuotaLimiter.Verdict | undefined => {
          const refund = account.spendGrant(usage) ?? (isAlone() ? account.spendLease(usage) : undefined);
          return refund && { kind: 'in', refund };
        };
        try {
          for (let round = 0; mayAsk(round); round += 1) {
            const spent = spend();
            if (spent) return spent;
            isAnswered = await requestGrants().answered;
          }
        } finally {
          account.waiting.delete(usage);
        }
        return (
          spend() ?? {
            kind: 'over',
            retryAfter: Math.min(quota.span, Math.max(1000, account.nextExpiryIn())),
          }
        );
      },
      applyGrants(
        from,
        answered,
        grants,
        { life = false, whole = false, listening = false, fromAllowance = false } = {},
      ) {
        if (from < epoch || pending?.serial !== answered) return;
        if (fromAllowance) {
          for (const grant of grants) accounts.get(grant.team)?.setAllowance(grant, pending.at);
          pending.resolve(true);
          return;
        }
        epoch = from;
        isRegistered = life;
        pending.isAcknowledged = true;
        renewLeases(pending, life);
        for (const [team, { reported, isWaiting }] of pending.teams) {
          const account = accounts.get(team);
          if (account) account.acknowledged = listening && !isWaiting ? reported : undefined;
        }
        isReportDue ||= whole;
        if (listening) {
          const { resolve, cancelTimeout } = pending;
          if (!whole) return;
          cancelTimeout();
          pending = undefined;
          void requestGrants().answered.then(resolve);
          return;
        }
        aloneSince = undefined;
        for (const grant of grants) {
          const account = accounts.get(grant.team);
          const told = pending.teams.get(grant.team);
          if (!account) continue;
          account.addGrant(grant, pending.at);
          account.acknowledged = told && UsageWindow.sum(told.reported, grant);
          if (told?.isWaiting && isEmpty(grant)) account.exhaustedUntil = Instant.after(exhaustedMs);
        }
        pending.resolve(true);
      },
      reportAll() {
        isRegistered = false;
        isReportDue = true;
        requestGrants();
      },
      maintain() {
        proxyCount.record(dependencies.proxies());
        for (const [team, account] of accounts) {
          const isReported = !isRegistered || isEqual(UsageWindow.zero, account.acknowledged);
          if (Instant.since(account.lastUsedAt) > 2 * account.spanMs && isReported) accounts.delete(team);
        }
        if (accounts.size === 0) return;
        isReportDue = true;
        requestGrants();
      },
    };
  },
};
