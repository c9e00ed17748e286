/**
 * What a proxy keeps of the quota of one team: what it admitted within the span, the unspent grant, its lease, and what the
 * holder of the quota duty knows of them. The lease is what the holder has recorded of this proxy, admitted or granted, so it
 * grants no more than the rest of the quota to others. While the holder is silent, the proxy may go on admitting within its lease
 * as what it had admitted leaves the span, until the lease expires. Allowances of cores are no part of it.
 */
import { Instant } from '../common/instant.js';
import { CoreAllowance } from '../duty/core-allowance.js';
import { LeaseLedger } from '../duty/lease-ledger.js';
import { QuotaCoverage } from '../duty/quota-coverage.js';
import { UsageWindow } from '../duty/usage-window.js';
import type { Frame } from '../wire/frame.js';
import type { PeakProxyCount } from './peak-proxy-count.js';

/** The account of one team. */
export type QuotaAccount = {
  readonly spanMs: number;
  /** Requests that wait for a grant. */
  readonly waiting: Set<UsageWindow.Usage>;
  lastUsedAt: Instant;
  /** Until when requests are refused at once, since the holder has just granted nothing. */
  exhaustedUntil: Instant;
  /** What the duty holder has recorded for this team; undefined if not known. */
  acknowledged: UsageWindow.Usage | undefined;
  /** Admits by an allowance or a grant, if they cover it; the returned function refunds the charge. */
  readonly spendGrant: (usage: UsageWindow.Usage) => (() => void) | undefined;
  /** Admits by the lease alone, if it covers it. */
  readonly spendLease: (usage: UsageWindow.Usage) => (() => void) | undefined;
  readonly addGrant: (grant: Frame.Grant, askedAt: Instant) => void;
  readonly setAllowance: (grant: Frame.Grant, askedAt: Instant) => void;
  /** What a report states of the account now. */
  readonly describe: () => QuotaAccount.Report;
  /** The part of a report for this team. */
  readonly toWire: (team: string, proxyCount: PeakProxyCount) => Frame.Use;
  /** Marks that a report was sent: the holder may have recorded no more than that from now on. */
  readonly markReported: (report: QuotaAccount.Report) => void;
  /** Marks that the holder has recorded a report that was sent at the given time. */
  readonly renewLease: (report: QuotaAccount.Report, sentAt: Instant) => void;
  /** Whether requests are admitted about as steadily as reports are sent, and some were since the last one. */
  readonly hasSteadyUse: () => boolean;
  readonly nextExpiryIn: () => number;
};

/** Reports and what all accounts of a proxy share. */
export declare namespace QuotaAccount {
  type Report = {
    readonly reported: UsageWindow.Usage;
    /** What of it becomes the lease once the holder has recorded it. */
    readonly leased: UsageWindow.Usage;
    readonly isWaiting: boolean;
  };
  type Contact = {
    /** Whether the holder is silent. */
    readonly isAlone: () => boolean;
    /** Until when the leases hold that any message of this proxy renews. */
    readonly registeredUntil: () => Instant;
  };
}

/** How long a grant may be spent, counted from its request, in milliseconds. */
const grantLifetimeMs = 2000;

type Timed = { readonly amount: UsageWindow.Usage; readonly expiresAt: Instant };

const nothing: Timed = { amount: UsageWindow.zero, expiresAt: Instant.past };
const unexpired = ({ amount, expiresAt }: Timed): UsageWindow.Usage =>
  Instant.isPast(expiresAt) ? UsageWindow.zero : amount;

class Account implements QuotaAccount {
  readonly waiting = new Set<UsageWindow.Usage>();
  lastUsedAt = Instant.now();
  exhaustedUntil = Instant.past;
  acknowledged: UsageWindow.Usage | undefined;
  private readonly window: UsageWindow;
  private readonly allowanceWindow: UsageWindow;
  private grant = nothing;
  private allowance = nothing;
  private leased = UsageWindow.zero;
  private leaseExpiresAt = Instant.past;
  /** What was admitted since the account was opened, and what of it was refunded. */
  private admitted = UsageWindow.zero;
  private refunded = UsageWindow.zero;
  /** What was admitted since the last report. */
  private recent = UsageWindow.zero;
  private lastChargedAt = Instant.past;
  private isSteady = false;

  constructor(
    readonly spanMs: number,
    private readonly contact: QuotaAccount.Contact,
  ) {
    this.window = UsageWindow.of(spanMs);
    this.allowanceWindow = UsageWindow.of(spanMs);
  }

  spendGrant(usage: UsageWindow.Usage): (() => void) | undefined {
    const { allowance, grant } = this;
    if (UsageWindow.covers(unexpired(allowance), usage)) {
      this.allowance = { ...allowance, amount: UsageWindow.difference(allowance.amount, usage) };
      this.allowanceWindow.add(usage);
      return this.charge(usage);
    }
    if (!UsageWindow.covers(unexpired(grant), usage)) return undefined;
    this.grant = { ...grant, amount: UsageWindow.difference(grant.amount, usage) };
    return this.charge(usage);
  }

  spendLease(usage: UsageWindow.Usage): (() => void) | undefined {
    const left = UsageWindow.difference(this.lease(), this.window.total());
    if (!UsageWindow.covers(left, usage)) return undefined;
    const rest = UsageWindow.difference(left, usage);
    this.grant = { ...this.grant, amount: UsageWindow.smaller(this.grant.amount, rest) };
    return this.charge(usage);
  }

  addGrant({ requests, prompt }: Frame.Grant, askedAt: Instant): void {
    const granted = { requests, prompt };
    const amount = UsageWindow.sum(unexpired(this.grant), granted);
    this.grant = { amount, expiresAt: Instant.after(grantLifetimeMs, askedAt) };
    this.leased = UsageWindow.sum(this.leased, granted);
  }

  setAllowance({ requests, prompt }: Frame.Grant, askedAt: Instant): void {
    const expiresAt = Instant.after(CoreAllowance.grantLifetimeMs, askedAt);
    this.allowance = { amount: { requests, prompt }, expiresAt };
  }

  describe(): QuotaAccount.Report {
    const reported = UsageWindow.sum(this.window.total(), this.held());
    const leased = UsageWindow.difference(reported, this.allowanceWindow.total());
    return { reported, leased, isWaiting: this.waiting.size > 0 };
  }

  toWire(team: string, proxyCount: PeakProxyCount): Frame.Use {
    return {
      team,
      used: this.window.total(),
      holds: this.held(),
      wanted: this.wasChargedLately() ? this.recent : UsageWindow.zero,
      must: [...this.waiting].reduce(UsageWindow.sum, UsageWindow.zero),
      proxies: proxyCount.within(QuotaCoverage.unknownForMs(this.spanMs)),
      leased: this.lease(),
      admitted: this.admitted,
      refunded: this.refunded,
    };
  }

  markReported({ leased }: QuotaAccount.Report): void {
    this.recent = UsageWindow.zero;
    this.leased = UsageWindow.smaller(this.leased, leased);
  }

  renewLease({ leased }: QuotaAccount.Report, sentAt: Instant): void {
    this.leased = leased;
    this.leaseExpiresAt = Instant.after(LeaseLedger.lifetimeMs, sentAt);
  }

  hasSteadyUse(): boolean {
    return this.isSteady && this.recent.requests > 0;
  }

  nextExpiryIn(): number {
    return this.window.nextExpiryIn();
  }

  private lease(): UsageWindow.Usage {
    const isExpired = Instant.isPast(this.leaseExpiresAt) && Instant.isPast(this.contact.registeredUntil());
    return isExpired ? UsageWindow.zero : this.leased;
  }

  /** What may be spent yet. While the holder is silent, what leaves the span may be spent again. */
  private held(): UsageWindow.Usage {
    const unspent = unexpired(this.grant);
    if (!this.contact.isAlone()) return unspent;
    return UsageWindow.larger(unspent, UsageWindow.difference(this.lease(), this.window.total()));
  }

  private wasChargedLately(): boolean {
    return Instant.since(this.lastChargedAt) < grantLifetimeMs;
  }

  private charge(usage: UsageWindow.Usage): () => void {
    this.recent = UsageWindow.sum(this.recent, usage);
    this.admitted = UsageWindow.sum(this.admitted, usage);
    this.isSteady = this.wasChargedLately();
    this.lastChargedAt = Instant.now();
    const removeUsage = this.window.add(usage);
    return () => {
      this.refunded = UsageWindow.sum(this.refunded, usage);
      removeUsage();
    };
  }
}

/** Opens accounts. */
export const QuotaAccount = {
  of: (spanMs: number, contact: QuotaAccount.Contact): QuotaAccount => new Account(spanMs, contact),
};
