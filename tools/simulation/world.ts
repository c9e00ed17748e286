// One seed: machines, operators, faults and judges on one clock, played from the first start to the end.
import { createHash } from 'node:crypto';
import { Random } from '../random.js';
import { Breaking } from './breaking.js';
import { Clock } from './clock.js';
import { Fault } from './faults.js';
import { History, type Order } from './history.js';
import { Instance } from './instance.js';
import { Judges, type Violation } from './judges.js';
import { Machine } from './machine.js';
import { Network } from './network.js';
import { Operators } from './operators.js';
import { Watch } from './watch.js';
import { WorldCheck } from './world-check.js';

export type World = {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly occasions: Readonly<Record<string, number>>;
  readonly faults: readonly Fault[];
  /** A digest of all that happened, for comparing two runs of one seed. */
  readonly digest: string;
  readonly lines: readonly string[];
  readonly events: number;
  readonly simulated: number;
};

export declare namespace World {
  type Plan = {
    readonly seed: number;
    readonly code: string;
    /** The faults to bring about in place of those that the seed draws. */
    readonly faults?: readonly Fault[];
  };
}

const length = 60_000;
const faultsFrom = 3000;
const faultsUntil = 42_000;
const healedAt = 45_000;
const servedWithin = 12_000;
const acknowledgedWithin = 2000;
/** How far behind a core may be that is not in sync, with nothing broken for 12 s. */
const caughtUpWithin = 3000;
/** How long a program may take to end in order after the last fault, before its machine must run again. */
const endedWithin = 11_000;
const lookEvery = 250;
const diskLookEvery = 1000;
const thoroughLookEvery = 9700;
const probeEvery = 500;
const clientCount = 400;
/** Seeds in which more orders are taken than a core keeps digests of. */
const busySeeds = 0.04;

const pools = new Map<string, Instance[]>();

const poolOf = (code: string): Instance[] => {
  const pool = pools.get(code) ?? [];
  pools.set(code, pool);
  return pool;
};

const textOf = (facts: object | undefined): string =>
  facts && Object.keys(facts).length > 0 ? ` ${JSON.stringify(facts)}` : '';

export const World = {
  async play({ seed, code, faults: given }: World.Plan): Promise<World> {
    const random = (stream: number) => Random.of((seed * 7919 + stream * 104_729) >>> 0);
    const draw = random(1);
    const clock = Clock.of((error) => crashed(error));
    const hash = createHash('sha256');
    const lines: string[] = [];
    const trace = (who: string, text: string, facts?: object) => {
      const line = `${(clock.at() / 1000).toFixed(6).padStart(10)} ${who.padEnd(10)} ${text}${textOf(facts)}`;
      lines.push(line);
      hash.update(line);
    };
    const network = Network.of(clock, random(2));
    const judges = Judges.of(clock);
    const crashed = (error: unknown) => {
      trace('crash', error instanceof Error ? (error.stack ?? error.message) : String(error));
      judges.count('noCrash', true, () => String(error));
    };
    const history = History.of(judges.sighted);
    const losses = draw.next() < 0.7 ? 1 : 2;
    const size = 2 * losses + 1;
    const kind: Operators.Kind = draw.next() < 0.65 ? 'numbered' : 'matched';
    const loss = draw.pick([0, 0.1, 0.4, 0.7]);
    const perSecond = draw.next() < busySeeds ? 6 : draw.pick([0.5, 1, 2]);
    const faults = given ?? Fault.draw(random(3), faultsFrom, faultsUntil);
    trace('seed', `${seed}: ${size} cores, ${kind} orders, ${loss} of answers lost`);

    const pool = poolOf(code);
    let machines: Machine[] = [];
    const everBuilt: Machine[] = [];
    let built = 0;
    let disks = 0;
    const build = (): Machine => {
      const machine = Machine.of({
        index: built,
        losses,
        seeds: () => machines.slice(0, 3).map((one) => one.wire),
        network,
        random: random(100 + built),
        instances: { take: () => pool.pop() ?? Instance.of(code), give: (one) => void pool.push(one) },
        trace,
        diskSerial: () => ++disks,
      });
      built += 1;
      machines = [...machines, machine];
      everBuilt.push(machine);
      return machine;
    };
    for (let index = 0; index < size; index += 1) build();
    const reader = pool.pop() ?? Instance.of(code);
    const watch = Watch.of({ clock, losses, machines: () => machines, reader });
    const served: { what: 'order' | 'read'; askedAt: number; at: number }[] = [];
    let operators: Operators | undefined;
    const breaking = Breaking.of({
      network,
      random: random(4),
      losses,
      watch,
      machines: () => machines,
      spare: build,
      dismiss(machine) {
        machines = machines.filter((one) => one !== machine);
      },
      clients: Array.from({ length: clientCount }, (_none, index) => `10.0.1.${index + 1}`),
      visit: (machine) => operators?.visit(machine),
      trace,
    });
    const isQuietFor = (span: number, since: number) => {
      const quiet = breaking.quietSince();
      return quiet !== undefined && since - quiet >= span;
    };
    const checkDisks = async (isThorough: boolean) => {
      const newest = history.newest();
      if (!newest) return;
      const { held, needed } = await watch.holders(newest, isThorough);
      judges.count(
        'onEnoughDisks',
        held < needed,
        () => `${newest.id} (version ${newest.version}) lies on ${held} disks and must on ${needed}`,
      );
    };
    operators = Operators.run({
      network,
      random: random(5),
      machines: () => machines,
      history,
      kind,
      lostAnswers: () => (breaking.quietSince() === undefined ? loss : loss / 2),
      perSecond,
      until: length - 100,
      onOrder: breaking.onOrder,
      onAcknowledged(order) {
        breaking.onAcknowledged();
        void watch
          .holders(order)
          .then(({ held, needed }) =>
            judges.count(
              'onEnoughDisks',
              held < needed,
              () => `${order.id} was acknowledged while it lay on ${held} disks of ${needed}`,
            ),
          );
      },
      onServed(what, askedAt, isServed, to) {
        if (isServed) served.push({ what, askedAt, at: clock.at() });
        const isAskedInTime = askedAt <= length - acknowledgedWithin;
        if (!isAskedInTime || !isQuietFor(servedWithin, askedAt)) return;
        judges.count(
          'acknowledgedInTime',
          !isServed || clock.at() - askedAt > acknowledgedWithin,
          () =>
            `${what} at ${to}, asked at ${Math.round(askedAt)} with all well, was ${isServed ? 'served' : 'given up'} after ${Math.round(clock.at() - askedAt)} ms`,
        );
      },
      trace,
    });
    const judgeQuiet = async (since: number) => {
      const isServed = (what: 'order' | 'read') =>
        served.some((one) => one.what === what && one.askedAt >= since && one.at <= since + servedWithin);
      for (const what of ['order', 'read'] as const)
        judges.count(
          'servedAgain',
          !isServed(what),
          () => `no ${what} was served within 12 s after ${Math.round(since)}`,
        );
      const { inSync, cores } = await watch.members();
      const mustHold = async (machine: Machine, order: Order | undefined, what: string) => {
        if (!order) return;
        const isHeld = await watch.holds(machine, order);
        judges.count(
          'memberCaughtUp',
          !isHeld,
          () => `${machine.name}, ${what}, does not hold ${order.id} (version ${order.version})`,
        );
      };
      const [newest, settled] = [history.newest(), history.newest(clock.at() - caughtUpWithin)];
      for (const machine of inSync) await mustHold(machine, newest, 'in sync');
      for (const machine of cores) await mustHold(machine, settled, 'a core');
    };
    const checkWorld = () => {
      const isSettled = isQuietFor(endedWithin, clock.at());
      const flaw = WorldCheck.flawOf({ built: everBuilt, present: machines, isSettled });
      judges.count('worldWhole', flaw !== undefined, () => flaw ?? '');
    };
    let judged = -1;
    const every = (span: number, work: () => Promise<void> | void) => {
      clock.after(span, () => {
        void work();
        every(span, work);
      });
    };
    every(lookEvery, async () => {
      checkWorld();
      await watch.look();
      const since = breaking.quietSince();
      if (since === undefined || since === judged || clock.at() < since + servedWithin) return;
      judged = since;
      await judgeQuiet(since);
    });
    every(diskLookEvery, () => checkDisks(false));
    every(thoroughLookEvery, () => checkDisks(true));
    every(probeEvery, () => {
      if (breaking.quietSince() !== undefined) operators?.visit(draw.pick(machines));
    });
    for (const machine of machines) clock.after(draw.below(800), () => machine.start(true));
    for (const fault of faults) clock.after(fault.at, () => void breaking.apply(fault));
    clock.after(healedAt, () => breaking.healAll());
    process.on('unhandledRejection', crashed);
    process.on('uncaughtException', crashed);
    await clock.runUntil(length);
    process.off('unhandledRejection', crashed);
    process.off('uncaughtException', crashed);
    judges.count('noCrash', false, () => '');
    judges.finish(history);
    for (const machine of machines) machine.kill();
    pool.push(reader);
    for (const violation of judges.violations)
      lines.push(
        `VIOLATION of ${violation.judge} at ${(violation.at / 1000).toFixed(3)} s: ${violation.text}`,
      );
    return {
      seed,
      violations: judges.violations,
      occasions: { ...judges.occasions },
      faults,
      digest: hash.digest('hex'),
      lines,
      events: clock.played(),
      simulated: length / 1000,
    };
  },
};
