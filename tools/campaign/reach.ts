// When could word reach a proxy? From the record of faults alone: while the proxy and its agent were up and
// a path led from them, over links not cut and through living agents and cores, to a core that could
// acknowledge. That is a core of a pair which was up, linked and with sound disks for the last four
// seconds: one disturbed core excuses nobody, and after a second one the cores get as long to settle.
import type { World } from './world.js';

export type Reach = {
  readonly spans: (node: string) => readonly Reach.Span[];
  readonly first: (node: string, after: number, stretch: number) => number | undefined;
};

export declare namespace Reach {
  type Machine = { readonly node: string; readonly ip: string };
  type Span = { readonly from: number; to: number };
  type Terms = {
    readonly made: readonly World.Made[];
    readonly cores: readonly Machine[];
    readonly fronts: readonly Machine[];
    readonly until: number;
  };
}

const settle = 4000;

type Segment = { readonly from: number; readonly to: number };

const touchesCore = (made: World.Made, cores: readonly Reach.Machine[]): boolean =>
  [...(made.down ?? []), ...(made.disks ?? [])].some((name) => cores.some((core) => core.node === name)) ||
  (made.cuts ?? []).some((pair) => pair.split('>').every((ip) => cores.some((core) => core.ip === ip)));

const isLinked = (active: readonly World.Made[], a: Reach.Machine, b: Reach.Machine): boolean =>
  a.ip === b.ip ||
  !active.some(({ cuts }) => cuts?.includes(`${a.ip}>${b.ip}`) || cuts?.includes(`${b.ip}>${a.ip}`));

const isUp = (active: readonly World.Made[], name: string): boolean =>
  !active.some(({ down }) => down?.includes(name));

const reachedIn = (segment: Segment, terms: Reach.Terms): ReadonlySet<string> => {
  const active = terms.made.filter((one) => one.from < segment.to && one.to > segment.from);
  const recent = terms.made.filter((one) => one.from < segment.to && one.to > segment.from - settle);
  const isSound = ({ node }: Reach.Machine) =>
    isUp(recent, node) && !recent.some(({ disks }) => disks?.includes(node));
  const sound = terms.cores.filter(isSound);
  const able = sound.filter((one) => sound.some((other) => other !== one && isLinked(recent, one, other)));
  const relays = [
    ...terms.cores,
    ...terms.fronts.map(({ node, ip }) => ({ node: `${node}-agent`, ip })),
  ].filter(({ node }) => isUp(active, node));
  const met = new Set<Reach.Machine>(relays.filter((one) => able.some(({ node }) => node === one.node)));
  for (const from of met)
    for (const to of relays) if (!met.has(to) && isLinked(active, from, to)) met.add(to);
  const names = new Set([...met].map(({ node }) => node));
  return new Set(
    terms.fronts
      .filter(({ node }) => names.has(`${node}-agent`) && isUp(active, node))
      .map(({ node }) => node),
  );
};

export const Reach = {
  of(terms: Reach.Terms): Reach {
    const marks = [
      0,
      terms.until,
      ...terms.made.flatMap((one) => [
        one.from,
        one.to,
        ...(touchesCore(one, terms.cores) ? [one.to + settle] : []),
      ]),
    ];
    const bounds = [...new Set(marks)].filter((at) => at >= 0 && at <= terms.until).sort((a, b) => a - b);
    const spans = new Map<string, Reach.Span[]>(terms.fronts.map(({ node }) => [node, []]));
    for (const [index, from] of bounds.slice(0, -1).entries()) {
      const to = bounds[index + 1]!;
      const reached = reachedIn({ from, to }, terms);
      for (const [node, list] of spans) {
        const last = list.at(-1);
        if (!reached.has(node)) continue;
        if (last?.to === from) last.to = to;
        else list.push({ from, to });
      }
    }
    const spansOf = (node: string) => spans.get(node) ?? [];
    return {
      spans: spansOf,
      first(node, after, stretch) {
        const span = spansOf(node).find((one) => one.to - Math.max(one.from, after) >= stretch);
        return span && Math.max(span.from, after) + stretch;
      },
    };
  },
};
