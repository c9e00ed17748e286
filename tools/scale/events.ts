/** The events of a scale run: each changes something and resolves with how long the last proxy took to be through it. */
import { Costs } from './costs.js';
import { Counts } from './counts.js';
import type { Documents } from './documents.js';
import type { Machine } from './machines.js';
import type { Stage } from './stage.js';

/** One event by its name. */
export type ScaleEvent = { readonly name: string; readonly play: () => Promise<number> };

type Needs = {
  readonly stage: Stage;
  readonly documents: Documents;
  readonly zones: readonly string[];
  /** How often each document is changed. */
  readonly changes: number;
};

/** The part of a fleet that a roll-out restarts at once. */
const restartShare = 450 / 610;

const changeOf = ({ stage, documents }: Needs, what: Documents.Kind): ScaleEvent => ({
  name: `change of ${what}`,
  async play() {
    const { stamp, at } = await documents.put(what);
    return (await stage.machines.reach(stamp)) - at;
  },
});

const changesOf = (needs: Needs, what: Documents.Kind): readonly ScaleEvent[] =>
  Array.from({ length: needs.changes }, () => changeOf(needs, what));

const relayFrozen = ({ stage }: Needs): ScaleEvent => ({
  name: 'relay frozen',
  async play() {
    const since = Counts.now();
    const agent = stage.processes().get(`${Costs.relay}-agent`);
    agent?.signal('SIGSTOP');
    try {
      const others = stage.machines.all().filter(({ node }) => node !== Costs.relay);
      return (await stage.machines.hear(others, since)) - since;
    } finally {
      agent?.signal('SIGCONT');
    }
  },
});

const hearAll = ({ machines }: Stage, since: number): Promise<number> =>
  machines.hear(machines.all(), since, machines.all().length);

/** The machines that may be stopped: all but those that are measured. */
const crowd = ({ machines }: Stage): readonly Machine[] =>
  machines.all().filter(({ node }) => node !== Costs.relay && node !== Costs.leaf);

const zoneLost = ({ stage, zones }: Needs): readonly ScaleEvent[] => {
  const lost = crowd(stage).filter(({ zone }) => zone === zones.at(-1));
  const after = async (work: () => Promise<void>) => {
    const since = Counts.now();
    await work();
    return (await hearAll(stage, since)) - since;
  };
  return [
    { name: `zone of ${lost.length} lost`, play: () => after(() => stage.machines.stop(lost)) },
    { name: `zone of ${lost.length} back`, play: () => after(() => stage.machines.start(lost)) },
  ];
};

const restart = ({ stage }: Needs): ScaleEvent => {
  const all = crowd(stage);
  const some = all.filter((_one, index) => index < all.length * restartShare);
  return {
    name: `restart of ${some.length}`,
    async play() {
      const since = Counts.now();
      await stage.machines.stop(some);
      await stage.machines.start(some);
      return (await hearAll(stage, since)) - since;
    },
  };
};

const coreLost = ({ stage }: Needs): readonly ScaleEvent[] => {
  let primary = '';
  return [
    {
      name: 'primary lost',
      async play() {
        primary = await stage.primary();
        const since = Counts.now();
        await stage.processes().get(primary)?.end('SIGKILL');
        return (await stage.machines.hear(stage.machines.all(), since)) - since;
      },
    },
    {
      name: 'core back',
      async play() {
        const since = Counts.now();
        await stage.startCore(Number(primary.slice(-1)) - 1);
        return (await hearAll(stage, since)) - since;
      },
    },
  ];
};

const kinds: Readonly<Record<string, (needs: Needs) => readonly ScaleEvent[]>> = {
  manifest: (needs) => changesOf(needs, 'manifest'),
  servers: (needs) => changesOf(needs, 'servers'),
  relay: (needs) => [relayFrozen(needs)],
  zone: (needs) => (needs.zones.length > 1 ? zoneLost(needs) : []),
  restart: (needs) => [restart(needs)],
  core: (needs) => coreLost(needs),
};

/** All kinds of events, and how to make those that a run plays. */
export const ScaleEvents = {
  kinds: Object.keys(kinds),
  /** The events of the kinds given, in the order of all kinds. */
  of: (chosen: readonly string[], needs: Needs): readonly ScaleEvent[] =>
    Object.entries(kinds).flatMap(([kind, make]) => (chosen.includes(kind) ? make(needs) : [])),
};
