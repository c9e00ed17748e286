// Brings the faults about and takes them back. It knows which of them stand, and since when nothing is broken.
import type { Random } from '../random.js';
import type { Fault } from './faults.js';
import type { Machine } from './machine.js';
import type { Network } from './network.js';
import type { Watch } from './watch.js';

export type Breaking = {
  readonly apply: (fault: Fault) => Promise<void>;
  readonly healAll: () => void;
  /** The time at which the last fault ended; undefined while one stands. */
  readonly quietSince: () => number | undefined;
  readonly onOrder: (machine: Machine) => void;
  readonly onAcknowledged: () => void;
};

export declare namespace Breaking {
  type Needs = {
    readonly network: Network;
    readonly random: Random;
    readonly losses: number;
    readonly watch: Watch;
    readonly machines: () => readonly Machine[];
    /** A machine that takes no part yet. */
    readonly spare: () => Machine;
    /** Takes a machine out for good. */
    readonly dismiss: (machine: Machine) => void;
    readonly clients: readonly string[];
    readonly visit: (machine: Machine) => void;
    readonly trace: (who: string, text: string, facts?: object) => void;
  };
}

const soonest = 5;
const longestWait = 400;
const spareFirst = 4000;
const lookAgainAfter = 5;

export const Breaking = {
  of(needs: Breaking.Needs): Breaking {
    const { network, random, watch } = needs;
    const { clock } = network;
    const heals = new Set<() => void>();
    let quietSince = 0;
    let isEnding = false;
    /** A machine that is about to leave for good takes its disk with it, though it still counts. */
    const mayLoseDisk = () => !isEnding && watch.mayLoseDisk();
    let onOrder: ((machine: Machine) => void) | undefined;
    let onAcknowledged: (() => void) | undefined;

    const stand = (what: string, machine: Machine, span: number, heal: () => void, isVisited = true) => {
      const once = () => {
        if (!heals.delete(once)) return;
        heal();
        if (heals.size === 0) quietSince = clock.at();
        needs.trace('fault', `ends: ${what}`, { machine: machine.name });
        if (isVisited && random.next() < 0.7) needs.visit(machine);
      };
      heals.add(once);
      needs.trace('fault', `begins: ${what}`, { machine: machine.name, span });
      clock.after(span, once);
    };
    const ways = (machine: Machine, others: readonly string[], isOut: boolean, isIn: boolean) =>
      others
        .filter((ip) => ip !== machine.ip)
        .flatMap((ip): (readonly [string, string])[] => [
          ...(isOut ? [[machine.ip, ip] as const] : []),
          ...(isIn ? [[ip, machine.ip] as const] : []),
        ]);
    const cut = (
      what: string,
      machine: Machine,
      span: number,
      list: readonly (readonly [string, string])[],
    ) => {
      for (const [from, to] of list) network.cut(from, to);
      stand(what, machine, span, () => {
        for (const [from, to] of list) network.heal(from, to);
      });
    };
    const isolate = (fault: Fault, machine: Machine, isOut: boolean, isIn: boolean) => {
      const clients = fault.chance < 0.3 ? needs.clients : [];
      const others = [...watch.everyIp(), ...clients];
      cut(fault.kind, machine, fault.span, ways(machine, others, isOut, isIn));
    };
    const leaving = new Set<Machine>();
    const isPresent = (machine: Machine) => needs.machines().includes(machine);
    const restart = (machine: Machine) => () => {
      if (isPresent(machine) && !leaving.has(machine)) machine.start(false);
    };
    const kill = (what: string, machine: Machine, span: number) => {
      machine.kill();
      stand(what, machine, span, restart(machine));
    };
    const losePower = (what: string, machine: Machine, span: number) => {
      machine.losePower();
      stand(what, machine, span, restart(machine));
    };
    const wipe = (what: string, machine: Machine, span: number) => {
      if (!mayLoseDisk()) return losePower(`${what}, as a loss of power`, machine, span);
      machine.losePower();
      watch.lostDisk(machine);
      machine.replaceDisk();
      stand(what, machine, span, restart(machine));
    };
    const disk = (condition: 'stalled' | 'full' | 'failing', machine: Machine, span: number) => {
      const held = machine.disk();
      held.become(condition);
      stand(condition, machine, span, () => held.become('sound'));
    };
    /** Its disk counts until its program has ended. */
    const dismissOnceEnded = (machine: Machine) => {
      if (machine.isRunning()) {
        clock.after(lookAgainAfter, () => dismissOnceEnded(machine));
        return;
      }
      isEnding = false;
      if (!isPresent(machine)) return;
      watch.lostDisk(machine);
      needs.dismiss(machine);
    };
    const replacePlanned = (machine: Machine, span: number) => {
      const next = needs.spare();
      next.start(false);
      needs.trace('fault', 'planned replacement', { machine: machine.name, by: next.name });
      const wait = Math.min(span, spareFirst);
      let isOver = false;
      stand('planned replacement', next, wait + 12_000, () => {
        isOver = true;
      });
      clock.after(wait, () => {
        if (isOver || !isPresent(machine) || !mayLoseDisk()) return;
        isEnding = true;
        leaving.add(machine);
        machine.end(true);
        dismissOnceEnded(machine);
      });
    };
    const replaceUnplanned = (machine: Machine, span: number) => {
      if (!mayLoseDisk()) return kill('kill', machine, span);
      const next = needs.spare();
      machine.losePower();
      watch.lostDisk(machine);
      needs.dismiss(machine);
      stand('unplanned replacement', next, Math.min(span, 4000), restart(next));
    };
    const apply = async (fault: Fault): Promise<void> => {
      const ranked = await watch.ranked();
      const machine = ranked[fault.rank % ranked.length]!;
      const rest = needs.machines().filter((one) => one !== machine);
      const other = rest[fault.other % rest.length] ?? machine;
      const { kind, span } = fault;
      const herd = (work: (what: string, one: Machine, span: number) => void) => {
        for (const one of needs.machines()) work(kind, one, span * (0.5 + 0.5 * random.next()));
      };
      const waiting = soonest + fault.chance * longestWait;
      const acts: Readonly<Record<Fault.Kind, () => void>> = {
        kill: () => kill(kind, machine, span),
        killAfterOrder: () => {
          onOrder = (at) => {
            onOrder = undefined;
            const hit = fault.chance < 0.5 ? at : machine;
            clock.after(waiting, () => {
              if (isPresent(hit)) kill(kind, hit, span);
            });
          };
        },
        killAtAcknowledgement: () => {
          onAcknowledged = () => {
            onAcknowledged = undefined;
            if (isPresent(machine)) (fault.chance < 0.5 ? losePower : wipe)(kind, machine, span);
          };
        },
        powerLoss: () => losePower(kind, machine, span),
        wipe: () => wipe(kind, machine, span),
        stall: () => disk('stalled', machine, span),
        full: () => disk('full', machine, span),
        failing: () => disk('failing', machine, span),
        isolate: () => isolate(fault, machine, true, true),
        isolateOutwards: () => isolate(fault, machine, true, false),
        isolateInwards: () => isolate(fault, machine, false, true),
        cutPair: () => cut(kind, machine, span, ways(machine, [other.ip], true, true)),
        cutPairOneWay: () => cut(kind, machine, span, ways(machine, [other.ip], true, false)),
        reset: () => {
          needs.trace('fault', 'reset', { machine: machine.name });
          network.reset(machine.ip);
        },
        slow: () => {
          const list = ways(machine, watch.everyIp(), true, true);
          const rate = fault.chance < 0.5 ? 20 : 2000;
          for (const [from, to] of list) network.slow(from, to, 400 * fault.chance, rate);
          stand(kind, machine, span, () => {
            for (const [from, to] of list) network.slow(from, to, 0);
          });
        },
        freeze: () => {
          machine.freeze();
          stand(kind, machine, span, () => machine.thaw());
        },
        endInOrder: () => {
          machine.end();
          stand(kind, machine, span + 1000, restart(machine));
        },
        herdKill: () => herd(kill),
        herdPowerLoss: () => herd(losePower),
        replacePlanned: () => replacePlanned(machine, span),
        replaceUnplanned: () => replaceUnplanned(machine, span),
      };
      acts[kind]();
    };
    return {
      apply,
      healAll() {
        onOrder = undefined;
        onAcknowledged = undefined;
        for (const heal of [...heals]) heal();
      },
      quietSince: () => (heals.size === 0 ? quietSince : undefined),
      onOrder: (machine) => onOrder?.(machine),
      onAcknowledged: () => onAcknowledged?.(),
    };
  },
};
