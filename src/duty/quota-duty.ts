// The quota duty at a core: says how much of each team's quota a proxy may let in next. It keeps nothing on
// disk. Each proxy tells what it let in within the span and what it still holds; a grant ends after two seconds, and
// one whose end was not told counts as used. A proxy that told all of its teams once tells only what changed, and any
// word of it is a sign of life for all of them; from any other each team must be told again and again. A new holder
// listens first, and asks each proxy for all. Until every proxy that it or they know of has told, or the quota's span is
// over, it grants nothing beyond a proxy's even part, for that is what a proxy not heard yet lets in alone.
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';
import { QuotaCoverage } from './quota-coverage.js';
import { UsageWindow } from './usage-window.js';

export type QuotaDuty = {
  readonly observeEpoch: (epoch: number) => void;
  readonly receive: (frame: QuotaDuty.Tokens, epoch: number) => QuotaDuty.Tokens | undefined;
  readonly usage: () => Readonly<Record<string, QuotaDuty.Usage>>;
};

export declare namespace QuotaDuty {
  type Tokens = Extract<Frame.Body, { kind: 'tokens' }>;
  type Quota = Partial<UsageWindow.Usage> & { readonly span: number };
  type Usage = {
    readonly used: UsageWindow.Usage;
    readonly quota: QuotaDuty.Quota;
    readonly proxies: number;
  };
}

type Told = { readonly mine: UsageWindow.Usage; readonly at: Instant; readonly isLive: boolean };
type Team = { readonly told: Map<string, Told>; readonly aging: Set<string>; sum: UsageWindow.Usage };
type Proxy = { readonly teams: Set<string>; heard: Instant; isKnown: boolean };

const grantLifetimeMs = 2000;
const listenFor = 1200;
const silentAfter = 3000;
const forgetAfter = 60_000;
const lookEvery = 50;

const least = (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
  requests: Math.max(0, Math.floor(Math.min(a.requests, b.requests))),
  prompt: Math.max(0, Math.floor(Math.min(a.prompt, b.prompt))),
});
// A proxy that tells all, or does not speak for all, took no answer of this holder yet, or not in time. An earlier
// program never speaks for all.
const mayBeAlone = ({ uses, life = false, whole = false }: QuotaDuty.Tokens): boolean => {
  const isEarlier = uses.every(({ proxies = 0 }) => proxies === 0);
  return uses.length > 0 && !isEarlier && (whole || !life);
};
const less = (a: UsageWindow.Usage, b: UsageWindow.Usage): UsageWindow.Usage => ({
  requests: a.requests - b.requests,
  prompt: a.prompt - b.prompt,
});

/** Asks a proxy, of any node, to tell all that it used; one that does not know it takes it for an empty grant. */
const reportRequest = {
  kind: 'tokens',
  epoch: 0,
  batches: [],
  wanted: 0,
  serial: 0,
  uses: [],
  grants: [],
  whole: true,
} as const satisfies Omit<QuotaDuty.Tokens, 'node'>;

export const QuotaDuty = {
  grantLifetimeMs: grantLifetimeMs,
  reportRequest: reportRequest,
  of(needs: {
    readonly quotaOf: (team: string) => QuotaDuty.Quota | undefined;
    /** The live proxies that this node knows of, of which it may miss some. */
    readonly roster: () => readonly string[];
    /** Asks a proxy to tell all that it used. */
    readonly requestReport: (node: string) => void;
  }): QuotaDuty {
    const census = QuotaCoverage.of(needs.roster);
    let teams = new Map<string, Team>();
    let proxies = new Map<string, Proxy>();
    let silent: readonly string[] = [];
    let lookedAt = Instant.past;
    let epoch = 0;
    let began = Instant.now();
    const proxyOf = (node: string): Proxy => {
      const proxy = proxies.get(node) ?? { teams: new Set(), heard: Instant.now(), isKnown: false };
      proxies.set(node, proxy);
      return proxy;
    };
    const set = (name: string, node: string, told: Told | undefined) => {
      const team = teams.get(name) ?? { told: new Map(), aging: new Set(), sum: UsageWindow.zero };
      teams.set(name, team);
      team.sum = UsageWindow.sum(
        less(team.sum, team.told.get(node)?.mine ?? UsageWindow.zero),
        told?.mine ?? UsageWindow.zero,
      );
      if (told) team.told.set(node, told);
      else team.told.delete(node);
      if (team.told.size === 0) teams.delete(name);
      if (told && !told.isLive) team.aging.add(node);
      else team.aging.delete(node);
      if (told) proxyOf(node).teams.add(name);
      else proxies.get(node)?.teams.delete(name);
    };
    const silentNow = (): readonly string[] => {
      if (Instant.since(lookedAt) < lookEvery) return silent;
      lookedAt = Instant.now();
      for (const [node, { heard, teams: told }] of proxies)
        if (told.size === 0 && Instant.since(heard) > forgetAfter) proxies.delete(node);
      silent = [...proxies].flatMap(([node, { heard }]) =>
        Instant.since(heard) > silentAfter ? [node] : [],
      );
      return silent;
    };
    // What all proxies used and hold; one that is silent may have let in its even part by now.
    const count = (name: string, quota: QuotaDuty.Quota): UsageWindow.Usage => {
      const team = teams.get(name);
      if (!team) return UsageWindow.zero;
      const part = 1 / census.proxyCount(name);
      let extra = UsageWindow.zero;
      for (const node of new Set([...silentNow(), ...team.aging])) {
        const one = team.told.get(node);
        if (!one) continue;
        const since = Instant.since(one.isLive ? proxyOf(node).heard : one.at);
        if (since > quota.span + grantLifetimeMs) set(name, node, undefined);
        if (since <= silentAfter || since > quota.span + grantLifetimeMs) continue;
        const { mine } = one;
        extra = UsageWindow.sum(extra, {
          requests: Math.max(0, (quota.requests ?? 0) * part - mine.requests),
          prompt: Math.max(0, (quota.prompt ?? 0) * part - mine.prompt),
        });
      }
      return UsageWindow.sum(team.sum, extra);
    };
    const note = (node: string, use: Frame.Use, given: UsageWindow.Usage) => {
      const mine = UsageWindow.sum(use.used, UsageWindow.sum(use.holds, given));
      const isLive = proxyOf(node).isKnown;
      const isNothing = isLive && mine.requests === 0 && mine.prompt === 0;
      set(use.team, node, isNothing ? undefined : { mine, at: Instant.now(), isLive });
    };
    const leftOfEvenPart = (use: Frame.Use, whole: UsageWindow.Usage): UsageWindow.Usage => {
      const proxies = census.proxyCount(use.team);
      const part = { requests: whole.requests / proxies, prompt: whole.prompt / proxies };
      return less(part, UsageWindow.sum(use.used, use.holds));
    };
    const leftFor = (use: Frame.Use, quota: QuotaDuty.Quota): UsageWindow.Usage => {
      const whole = {
        requests: quota.requests ?? Number.MAX_SAFE_INTEGER,
        prompt: quota.prompt ?? Number.MAX_SAFE_INTEGER,
      };
      const left = less(whole, count(use.team, quota));
      if (census.isComplete(use.team, quota.span + grantLifetimeMs)) return left;
      for (const node of census.takeUnasked()) needs.requestReport(node);
      return least(left, leftOfEvenPart(use, whole));
    };
    const grant = (node: string, use: Frame.Use): Frame.Grant | undefined => {
      const quota = needs.quotaOf(use.team);
      if (!quota) return undefined;
      note(node, use, UsageWindow.zero);
      const left = leftFor(use, quota);
      const ahead = 1 / (2 * census.proxyCount(use.team));
      const given = least(left, {
        requests: Math.max(use.must.requests, Math.min(use.wanted.requests, left.requests * ahead)),
        prompt: Math.max(use.must.prompt, Math.min(use.wanted.prompt, left.prompt * ahead)),
      });
      note(node, use, given);
      return { team: use.team, ...given };
    };
    // What a proxy told before and does not speak for now, of its last run or as an earlier program, ages by itself.
    const leave = (node: string, proxy: Proxy, isSpoken: (team: string) => boolean) => {
      for (const name of [...proxy.teams]) {
        const told = teams.get(name)?.told.get(node);
        if (told?.isLive && !isSpoken(name)) set(name, node, { ...told, at: proxy.heard, isLive: false });
      }
    };
    const hear = ({ node, uses, life = false, whole = false }: QuotaDuty.Tokens): boolean => {
      const proxy = proxyOf(node);
      if (whole || !life) {
        const spoken = new Set(life ? uses.map(({ team }) => team) : []);
        leave(node, proxy, (team) => spoken.has(team));
      }
      proxy.isKnown = life && (whole || proxy.isKnown);
      proxy.heard = Instant.now();
      return proxy.isKnown;
    };
    const look = (under: number) => {
      if (under === epoch) return;
      epoch = under;
      teams = new Map();
      proxies = new Map();
      census.reset();
      lookedAt = Instant.past;
      began = Instant.now();
    };
    return {
      observeEpoch: look,
      usage() {
        const list = [...teams].flatMap(([team, { told }]) => {
          const quota = needs.quotaOf(team);
          return quota ? [[team, { used: count(team, quota), quota, proxies: told.size }] as const] : [];
        });
        return Object.fromEntries(list);
      },
      receive(frame, under) {
        look(under);
        const life = hear(frame);
        const whole = frame.life === true && !life;
        const response = { ...frame, epoch: under, batches: [], wanted: 0, uses: [], life, whole };
        for (const { team, proxies: known = 0 } of frame.uses) census.recordProxyCount(team, known);
        if (Instant.since(began) < listenFor) {
          for (const use of frame.uses) note(frame.node, use, use.must);
          return frame.life ? { ...response, grants: [], listening: true } : undefined;
        }
        if (!whole) census.markHeard(frame.node, mayBeAlone(frame));
        const grants = frame.uses.flatMap((use) => grant(frame.node, use) ?? []);
        return { ...response, grants, listening: false };
      },
    };
  },
};
