/**
 * What a core may grant of quotas on its own authority. The operator states how many requests beyond its quota a team may make
 * within the span (`slack`). Each core of the term holds an even part of that, and grants from it at once, without asking the
 * holder of the quota duty: near proxies need not wait for a far holder, and a core that is cut off from the holder goes on
 * granting. No two cores hold the same part, so together they never grant more than the slack in any span.
 *
 * A grant that was not spent counts as spent. A core that has just started or joined may have granted its part before, or
 * replaced a core that did, so it waits for one span first.
 */
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';
import type { QuotaDuty } from './quota-duty.js';
import { UsageWindow } from './usage-window.js';

/** Grants from the part of the slack that this core holds. */
export type CoreAllowance = {
  /** The grants for all requests that wait, or undefined if the allowance does not cover them all. */
  readonly grant: (frame: QuotaDuty.Tokens) => readonly Frame.Grant[] | undefined;
  /** Notices when the core joins or leaves the term; called several times a second. */
  readonly observeMembership: () => void;
};

type Granted = { readonly window: UsageWindow; readonly spanMs: number };

/** How long such a grant may be spent, counted from its question, in milliseconds. */
const grantLifetimeMs = 500;

/** Creates the allowance of a core. */
export const CoreAllowance = {
  grantLifetimeMs,
  of(needs: {
    readonly quotaOf: (team: string) => QuotaDuty.Quota | undefined;
    /** The number of cores in the term, this one included; undefined if it is not one of them. */
    readonly coreCount: () => number | undefined;
  }): CoreAllowance {
    const grantedByTeam = new Map<string, Granted>();
    let memberSince: Instant | undefined;
    const windowOf = (team: string, spanMs: number): UsageWindow => {
      const known = grantedByTeam.get(team);
      if (known?.spanMs === spanMs) return known.window;
      const window = UsageWindow.of(spanMs);
      grantedByTeam.set(team, { window, spanMs });
      return window;
    };
    const observeMembership = (): number | undefined => {
      const count = needs.coreCount();
      memberSince = count === undefined ? undefined : (memberSince ?? Instant.now());
      return count;
    };
    /** The requests that this core may still grant a team; 0 for a quota that also counts prompts. */
    const remaining = (team: string, count: number): { left: number; window: UsageWindow } | undefined => {
      const quota = needs.quotaOf(team);
      if (quota?.slack === undefined || quota.prompt !== undefined) return undefined;
      const spanMs = quota.span + grantLifetimeMs;
      if (memberSince === undefined || Instant.since(memberSince) < spanMs) return undefined;
      const window = windowOf(team, spanMs);
      return { left: Math.floor(quota.slack / count) - window.total().requests, window };
    };
    return {
      observeMembership: () => void observeMembership(),
      grant({ uses }) {
        const count = observeMembership();
        if (count === undefined) return undefined;
        const parts = uses.map(({ team, must }) => ({ team, must, ...remaining(team, count) }));
        const isCovered =
          parts.length > 0 && parts.every(({ must, left = 0 }) => must.requests > 0 && must.requests <= left);
        if (!isCovered) return undefined;
        for (const { must, window } of parts) window?.add(must);
        return parts.map(({ team, must }) => ({ team, ...must }));
      },
    };
  },
};
