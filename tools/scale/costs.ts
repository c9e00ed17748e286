/** What each role of a scale run spends over a span: the primary, the other cores, a relay, a leaf and its proxy. */
import { Counts } from './counts.js';
import type { Stage } from './stage.js';

/** Samples by the names of processes. */
export type Samples = Readonly<Record<string, Counts.Sample>>;
/** Rates by role. */
export type Rates = Readonly<Record<string, Counts.Rate>>;
/** What an event cost above rest. */
export type Cost = { readonly frames: number; readonly bytes: number; readonly processor: number };

const coreNames = ['core-1', 'core-2', 'core-3'] as const;

const rolesNow = async (stage: Stage): Promise<Readonly<Record<string, string>>> => {
  const primary = await stage.primary();
  const [core, core2] = coreNames.filter((name) => name !== primary);
  return {
    [primary]: 'primary',
    [core!]: 'core',
    [core2!]: 'core2',
    [`${Costs.relay}-agent`]: 'relay',
    [`${Costs.leaf}-agent`]: 'leaf',
    [Costs.leaf]: 'proxy',
  };
};

const costOf = (spent: Counts.Rate, calm: Counts.Rate | undefined): Cost => {
  const share = calm ? spent.seconds / calm.seconds : 0;
  const above = (here: number, atRest = 0) => here - atRest * share;
  const frames = (rate?: Counts.Rate) => (rate ? rate.sent.frames + rate.got.frames : 0);
  const bytes = (rate?: Counts.Rate) => (rate ? rate.sent.bytes + rate.got.bytes : 0);
  return {
    frames: above(frames(spent), frames(calm)),
    bytes: above(bytes(spent), bytes(calm)),
    processor: above(spent.processor, calm?.processor),
  };
};

/** Samples of the measured processes, and what lies between them by role. */
export const Costs = {
  /** The machine whose agent relays, being the first of its zone. */
  relay: 'zone-0000-a',
  /** A machine whose agent is a leaf. */
  leaf: 'zone-0000-z',
  samples(stage: Stage): Samples {
    const names = [...coreNames, `${Costs.relay}-agent`, `${Costs.leaf}-agent`, Costs.leaf];
    return Object.fromEntries(
      names.flatMap((name) => {
        const sample = stage.sample(name);
        return sample ? [[name, sample] as const] : [];
      }),
    );
  },
  /** The rates of all roles between two samples; a process that was started anew meanwhile has none. */
  async between(stage: Stage, before: Samples, after: Samples): Promise<Rates> {
    const roles = await rolesNow(stage);
    return Object.fromEntries(
      Object.entries(after).flatMap(([name, sample]) => {
        const earlier = before[name];
        const isSameRun = earlier && earlier.processor <= sample.processor;
        return isSameRun ? [[roles[name]!, Counts.between(earlier, sample)] as const] : [];
      }),
    );
  },
  aboveRest: (spent: Rates, rest: Rates): Readonly<Record<string, Cost>> =>
    Object.fromEntries(Object.entries(spent).map(([role, rate]) => [role, costOf(rate, rest[role])])),
};
