/**
 * What each process of each proxy may have admitted, or may still admit, of the quotas of teams, as known to the holder of the
 * quota duty. The lease of a process is what its last report and the grants since then cover. It may admit that much until it has
 * not been in contact with the holder for the lifetime of a lease, or until the proxy has started again. From then on its lease
 * only shrinks, as what it had admitted leaves the span. Reports of a later process of the same proxy do not replace it.
 */
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';
import type { Incarnation } from './incarnation.js';
import { UsageHistory } from './usage-history.js';
import { UsageWindow } from './usage-window.js';

/** The leases of all processes of all proxies. */
export type LeaseLedger = {
  /** Replaces the lease of a process by what it reports and is granted. */
  readonly set: (use: Frame.Use, lessee: Incarnation, amount: UsageWindow.Usage) => void;
  /** From now on messages of the process renew only its leases of the given teams. */
  readonly stopRenewing: (lessee: Incarnation, except: ReadonlySet<string>) => void;
  /** What all processes may have admitted within the span or may still admit. */
  readonly outstanding: (team: string, spanMs: number) => UsageWindow.Usage;
  readonly hasLeases: (lessee: Incarnation) => boolean;
  /** The teams that have a lease. */
  readonly teams: () => readonly string[];
  /** The number of processes with a lease of the team. */
  readonly lesseeCount: (team: string) => number;
  /** Forgets what has left the spans of all teams. */
  readonly removeExpired: () => void;
};

type Entry = {
  amount: UsageWindow.Usage;
  reportedAt: Instant;
  /** Whether any message of the process renews it. */
  isRenewed: boolean;
  readonly history: UsageHistory;
};
type Team = Map<Incarnation, Entry>;

/** For how long a proxy that hears nothing from the holder may admit by its leases, in milliseconds. */
const lifetimeMs = 4000;

const isNothing = ({ requests, prompt }: UsageWindow.Usage): boolean => requests <= 0 && prompt <= 0;

const renewedAt = ({ lastHeardAt }: Incarnation, { isRenewed, reportedAt }: Entry): Instant =>
  isRenewed ? lastHeardAt : reportedAt;

/** When the process may have admitted something by the lease at the latest. */
const endOf = (lessee: Incarnation, entry: Entry): Instant =>
  Instant.earliest(lessee.endedAt, Instant.after(lifetimeMs, renewedAt(lessee, entry)));

const isExpired = (lessee: Incarnation, entry: Entry, spanMs: number): boolean =>
  Instant.since(endOf(lessee, entry)) > spanMs;

/** In the span before its end a process admitted its lease at most; what has left the span since then counts no more. */
const boundOf = (lessee: Incarnation, entry: Entry, spanMs: number): UsageWindow.Usage => {
  const endedAt = endOf(lessee, entry);
  if (!Instant.isPast(endedAt)) return entry.amount;
  const from = Instant.after(-spanMs, endedAt);
  return UsageWindow.difference(entry.amount, entry.history.between(from, Instant.after(-spanMs)));
};

const createEntry = (spanMs: number): Entry => ({
  amount: UsageWindow.zero,
  reportedAt: Instant.now(),
  isRenewed: false,
  history: UsageHistory.of(2 * spanMs + lifetimeMs),
});

/** Creates ledgers. */
export const LeaseLedger = {
  lifetimeMs,
  of(spanOf: (team: string) => number | undefined): LeaseLedger {
    const teams = new Map<string, Team>();
    const remove = (name: string, lessee: Incarnation) => {
      const team = teams.get(name);
      team?.delete(lessee);
      if (team?.size === 0) teams.delete(name);
    };
    const entryOf = (name: string, lessee: Incarnation): Entry => {
      const team: Team = teams.get(name) ?? new Map();
      const entry = team.get(lessee) ?? createEntry(spanOf(name) ?? 0);
      team.set(lessee, entry);
      teams.set(name, team);
      return entry;
    };
    const removeExpiredOf = (name: string, spanMs: number) => {
      for (const [lessee, entry] of teams.get(name) ?? [])
        if (isExpired(lessee, entry, spanMs)) remove(name, lessee);
    };
    return {
      set({ team, admitted, refunded }, lessee, amount) {
        if (lessee.isRegistered && isNothing(amount)) return remove(team, lessee);
        const entry = entryOf(team, lessee);
        entry.amount = amount;
        entry.reportedAt = Instant.now();
        entry.isRenewed = lessee.isRegistered;
        if (admitted && refunded) entry.history.record({ admitted, refunded }, lessee.lastSentAt);
      },
      stopRenewing(lessee, except) {
        for (const [name, team] of teams) {
          const entry = team.get(lessee);
          if (!entry?.isRenewed || except.has(name)) continue;
          entry.reportedAt = lessee.lastHeardAt;
          entry.isRenewed = false;
        }
      },
      outstanding(name, spanMs) {
        removeExpiredOf(name, spanMs);
        return [...(teams.get(name) ?? [])]
          .map(([lessee, entry]) => boundOf(lessee, entry, spanMs))
          .reduce(UsageWindow.sum, UsageWindow.zero);
      },
      hasLeases: (lessee) => [...teams.values()].some((team) => team.has(lessee)),
      teams: () => [...teams.keys()],
      lesseeCount: (name) => teams.get(name)?.size ?? 0,
      removeExpired() {
        for (const name of teams.keys()) removeExpiredOf(name, spanOf(name) ?? 0);
      },
    };
  },
};
