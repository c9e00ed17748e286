/**
 * The quota duty of a core: grants proxies parts of the quotas of teams. It stores nothing on disk. Each proxy reports what it
 * admitted within the span of the quota and which grants it has not spent. A grant expires after two seconds, and counts as
 * used unless its expiry was reported.
 *
 * A proxy that has reported all of its teams once then reports only changes, and any message from it renews the leases of all
 * its teams. The leases of any other proxy expire unless they are reported repeatedly, and those of a process that has ended
 * expire as what it had admitted leaves the span.
 *
 * A new holder first collects reports and requests a full one from each proxy. What it cannot know yet of its predecessor's
 * grants counts as used (`quota-coverage`).
 */
import { Instant } from '../common/instant.js';
import { Frame } from '../wire/frame.js';
import type { Incarnation } from './incarnation.js';
import { Incarnations } from './incarnations.js';
import { LeaseLedger } from './lease-ledger.js';
import { QuotaCoverage } from './quota-coverage.js';
import { QuotaHorizon } from './quota-horizon.js';
import { UsageWindow } from './usage-window.js';

/** Grants parts of quotas to proxies. */
export type QuotaDuty = {
  /**
   * Observes whether this node holds the duty: under which epoch, or undefined while another node holds it. A node that holds it
   * anew, after another node or under an epoch before which another node may have held it, knows nothing of what was granted
   * meanwhile and discards all state.
   */
  readonly observeTerm: (epoch: number | undefined) => void;
  /** Handles a report and returns the response, if there is one. */
  readonly receive: (frame: QuotaDuty.Tokens, epoch: number) => QuotaDuty.Tokens | undefined;
  /** Keeps the horizon up to date and answers what has waited for it; called several times a second. */
  readonly maintain: () => void;
  /** Handles the reply of a core about the horizon. */
  readonly handleHorizonReply: (reply: Frame.Horizon) => void;
  /** Usage by team. */
  readonly usage: () => Readonly<Record<string, QuotaDuty.Usage>>;
};

/** Messages and amounts of the duty. */
export declare namespace QuotaDuty {
  /** A message about retry tokens or quotas. */
  type Tokens = Extract<Frame.Body, { kind: 'tokens' }>;
  /** The quota of a team; `span` is in milliseconds. */
  type Quota = Partial<UsageWindow.Usage> & {
    readonly span: number;
    /** Requests beyond the quota that the cores may grant within the span on their own authority. */
    readonly slack?: number;
  };
  /** A team's usage, its quota, and the number of proxies that reported. */
  type Usage = {
    readonly used: UsageWindow.Usage;
    readonly quota: QuotaDuty.Quota;
    readonly proxies: number;
  };
}

/** A report that waits until the horizon covers what it asks for. */
type WaitingReport = {
  readonly uses: readonly Frame.Use[];
  readonly lessee: Incarnation;
  readonly response: Omit<QuotaDuty.Tokens, 'grants' | 'listening'>;
  readonly at: Instant;
};

const grantLifetimeMs = 2000;
/** How long a report waits for the horizon, in milliseconds: less than a proxy waits for its response. */
const horizonWaitMs = 200;
const unbounded = Number.MAX_SAFE_INTEGER;
/** How long a new holder collects reports before it grants anything. */
const collectMs = 1200;
/** Time after which a proxy without leases that sends nothing is forgotten. */
const forgetAfterMs = 60_000;
const sweepIntervalMs = 5000;

const minimum = (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
  requests: Math.max(0, Math.floor(Math.min(a.requests, b.requests))),
  prompt: Math.max(0, Math.floor(Math.min(a.prompt, b.prompt))),
});
/** Earlier versions report all of their teams each time, and not how many proxies they know. */
const isEarlierVersion = ({ uses }: QuotaDuty.Tokens): boolean =>
  uses.length > 0 && uses.every(({ proxies = 0 }) => proxies === 0);
const isNothing = ({ requests, prompt }: UsageWindow.Usage): boolean => requests <= 0 && prompt <= 0;

const fullOf = ({ requests, prompt }: QuotaDuty.Quota): UsageWindow.Usage => ({
  requests: requests ?? unbounded,
  prompt: prompt ?? unbounded,
});

/** The amount where the quota bounds it, and the other value where it does not. */
const boundedBy = (
  quota: QuotaDuty.Quota,
  { requests, prompt }: UsageWindow.Usage,
  otherwise: number,
): UsageWindow.Usage => ({
  requests: quota.requests === undefined ? otherwise : requests,
  prompt: quota.prompt === undefined ? otherwise : prompt,
});

/** The requests that one proxy may hold ahead of need: at least one if the proxies could hold at most two each. */
const requestsAhead = (left: number, proxies: number): number =>
  left >= proxies / 2 ? Math.max(1, left / (2 * proxies)) : 0;

/** Requests a full report from a proxy. A proxy of an earlier version takes it for an empty grant. */
const reportRequest: Omit<QuotaDuty.Tokens, 'node'> = { ...Frame.emptyTokens, whole: true };

/** Creates the quota duty of a core. */
export const QuotaDuty = {
  grantLifetimeMs,
  reportRequest,
  of(needs: {
    readonly quotaOf: (team: string) => QuotaDuty.Quota | undefined;
    /** The live proxies that this node knows; possibly incomplete. */
    readonly roster: () => readonly string[];
    /** Requests a full report from a proxy. */
    readonly requestReport: (node: string) => void;
    /** Until when certainly no proxy has admitted anything, since there was no manifest. */
    readonly unusedUntil?: () => Instant;
    /** Whether no other node can have held the duty before. */
    readonly isFirstHolder?: () => boolean;
    /** Whether this node is the primary of the term. */
    readonly isPrimary?: () => boolean;
    /** How the cores are reached that store the horizon; without it a successor knows nothing of what was granted. */
    readonly horizon?: Pick<QuotaHorizon.Dependencies, 'own' | 'cores' | 'send'>;
    /** Sends a response that was not ready when the report came. */
    readonly respond?: (response: QuotaDuty.Tokens) => void;
  }): QuotaDuty {
    const { roster, unusedUntil = () => Instant.past, isFirstHolder = () => false } = needs;
    const horizon = needs.horizon
      ? QuotaHorizon.of({
          ...needs.horizon,
          onRaise: () => answerWaiting(0),
          onOutdated() {
            isOutdated = true;
          },
        })
      : QuotaHorizon.none;
    let waitingReports: WaitingReport[] = [];
    let isOutdated = false;
    const coverage = QuotaCoverage.of({ roster, unusedUntil });
    const spanOf = (team: string) => needs.quotaOf(team)?.span;
    let ledger = LeaseLedger.of(spanOf);
    let incarnations = Incarnations.of();
    let sweptAt = Instant.now();
    let heldEpoch: number | undefined;
    let hasHeldBefore = false;
    let isHeldAsPrimary = false;
    let startedAt = Instant.now();
    const record = (lessee: Incarnation, use: Frame.Use, granted: UsageWindow.Usage) =>
      ledger.set(use, lessee, UsageWindow.sum(use.used, UsageWindow.sum(use.holds, granted)));
    /** What all proxies may have used or hold; what no quota bounds does not count. */
    const committedOf = (name: string, quota: QuotaDuty.Quota): UsageWindow.Usage => {
      const full = fullOf(quota);
      const unknown = coverage.unknown(name, horizon.predecessorBound(name, full), quota.span);
      if (!isNothing(unknown)) for (const node of coverage.takeUnasked()) needs.requestReport(node);
      return boundedBy(quota, UsageWindow.sum(unknown, ledger.outstanding(name, quota.span)), 0);
    };
    const leftOf = (name: string, quota: QuotaDuty.Quota): UsageWindow.Usage => {
      const limit = horizon.limit(name, fullOf(quota));
      return boundedBy(quota, UsageWindow.difference(limit, committedOf(name, quota)), unbounded);
    };
    /** Whether the quota covers what waits, and only the horizon does not yet. */
    const waitsForHorizon = ({ team, must }: Frame.Use): boolean => {
      const quota = needs.quotaOf(team);
      if (!quota || isNothing(must)) return false;
      const wanted = boundedBy(quota, UsageWindow.sum(committedOf(team, quota), must), 0);
      horizon.observe(team, fullOf(quota), wanted);
      return UsageWindow.covers(fullOf(quota), wanted) && !UsageWindow.covers(leftOf(team, quota), must);
    };
    const grant = (lessee: Incarnation, use: Frame.Use): Frame.Grant | undefined => {
      const quota = needs.quotaOf(use.team);
      if (!quota) return undefined;
      const left = leftOf(use.team, quota);
      const proxies = coverage.proxyCount();
      const granted = minimum(left, {
        requests: Math.max(
          use.must.requests,
          Math.min(use.wanted.requests, requestsAhead(left.requests, proxies)),
        ),
        prompt: Math.max(use.must.prompt, Math.min(use.wanted.prompt, left.prompt / (2 * proxies))),
      });
      record(lessee, use, granted);
      return { team: use.team, ...granted };
    };
    const answer = ({ uses, lessee, response }: WaitingReport): QuotaDuty.Tokens => {
      const grants = uses.flatMap((use) => grant(lessee, use) ?? []);
      return { ...response, grants, listening: false };
    };
    /** Answers the reports that have waited for the horizon for at least this long. */
    const answerWaiting = (leastMs: number) => {
      const due = waitingReports.filter(({ at }) => Instant.since(at) >= leastMs);
      waitingReports = waitingReports.filter((report) => !due.includes(report));
      for (const report of due) needs.respond?.(answer(report));
    };
    const longestSpanMs = () => Math.max(0, ...ledger.teams().map((team) => spanOf(team) ?? 0));
    // Leases that the proxy does not renew, as an earlier version, expire on their own.
    const registerMessage = (lessee: Incarnation, frame: QuotaDuty.Tokens): boolean => {
      const { uses, life = false, whole = false } = frame;
      if (whole || !life) ledger.stopRenewing(lessee, new Set(life ? uses.map(({ team }) => team) : []));
      lessee.isRegistered = life && (whole || lessee.isRegistered);
      return lessee.isRegistered;
    };
    const sweep = () => {
      if (Instant.since(sweptAt) < sweepIntervalMs) return;
      sweptAt = Instant.now();
      ledger.removeExpired();
      for (const one of incarnations.all())
        if (Instant.since(one.lastHeardAt) > forgetAfterMs && !ledger.hasLeases(one))
          incarnations.forget(one);
    };
    const observeUse = (lessee: Incarnation, { team, proxies = 0, leased = UsageWindow.zero }: Frame.Use) => {
      coverage.recordProxyCount(proxies);
      coverage.recordClaim(team, lessee, leased);
    };
    /** Whether no other node can have held the duty since: a primary that leads the next term as well was never replaced. */
    const isContinued = (epoch: number): boolean => {
      if (heldEpoch === undefined) return false;
      const leadsNext = isHeldAsPrimary && epoch === heldEpoch + 1 && needs.isPrimary?.() === true;
      return leadsNext || isFirstHolder();
    };
    const startAnew = () => {
      const isFirstTerm = !hasHeldBefore;
      hasHeldBefore = true;
      ledger = LeaseLedger.of(spanOf);
      incarnations = Incarnations.of();
      coverage.reset(() => isFirstTerm && isFirstHolder());
      startedAt = Instant.now();
      waitingReports = [];
      isOutdated = false;
      if (heldEpoch !== undefined) horizon.begin(heldEpoch, isFirstTerm && isFirstHolder());
    };
    const observeTerm = (epoch: number | undefined) => {
      sweep();
      const isAnother = epoch !== heldEpoch;
      const isSameDuty = epoch !== undefined && isContinued(epoch);
      heldEpoch = epoch;
      if (epoch !== undefined && isAnother) {
        if (isSameDuty) horizon.continueIn(epoch);
        else startAnew();
      }
      isHeldAsPrimary = epoch !== undefined && needs.isPrimary?.() === true;
    };
    return {
      observeTerm,
      usage() {
        const list = ledger.teams().flatMap((team) => {
          const quota = needs.quotaOf(team);
          return quota
            ? [
                [
                  team,
                  { used: ledger.outstanding(team, quota.span), quota, proxies: ledger.lesseeCount(team) },
                ] as const,
              ]
            : [];
        });
        return Object.fromEntries(list);
      },
      receive(frame, epoch) {
        observeTerm(epoch);
        const lessee = incarnations.heardFrom(frame);
        if (!lessee) return undefined;
        const life = registerMessage(lessee, frame);
        const whole = frame.life === true && !life;
        const response = { ...frame, epoch, batches: [], wanted: 0, uses: [], life, whole };
        // The proxy asks again once it no longer waits, and an older report must not replace a newer one.
        waitingReports = waitingReports.filter((report) => report.lessee !== lessee);
        for (const use of frame.uses) observeUse(lessee, use);
        if (Instant.since(startedAt) < collectMs) {
          for (const use of frame.uses) record(lessee, use, use.must);
          return frame.life ? { ...response, grants: [], listening: true } : undefined;
        }
        if (life || isEarlierVersion(frame)) coverage.markHeard(lessee);
        for (const use of frame.uses) record(lessee, use, UsageWindow.zero);
        const report: WaitingReport = { uses: frame.uses, lessee, response, at: Instant.now() };
        if (frame.uses.map(waitsForHorizon).some(Boolean)) {
          waitingReports.push(report);
          return undefined;
        }
        return answer(report);
      },
      handleHorizonReply: (reply) => horizon.handleReply(reply),
      maintain() {
        if (heldEpoch === undefined) return;
        if (isOutdated) startAnew();
        for (const team of new Set([...ledger.teams(), ...horizon.teams()])) {
          const quota = needs.quotaOf(team);
          if (quota) horizon.observe(team, fullOf(quota), committedOf(team, quota));
        }
        answerWaiting(horizonWaitMs);
        horizon.maintain(coverage.isComplete(longestSpanMs()));
      },
    };
  },
};
