/** Ways between zones, what is cut, and the connections that proxies keep to servers. */
import type { Server } from './server.js';
import type { TallyBook } from './tally.js';
import type { Timeline } from './timeline.js';
import type { Workload } from './workload.js';

/** The network of an experiment. */
export type Network = {
  /** One way, in milliseconds. */
  readonly delay: (from: Workload.Zone, to: Workload.Zone) => number;
  readonly reaches: (from: Workload.Zone, to: Workload.Zone) => boolean;
  readonly cut: (inside: string) => void;
  readonly heal: (inside: string) => void;
  readonly carry: (from: Workload.Zone, to: Workload.Zone, bytes: number) => void;
};

const sameZone = 0.2;

/** Whether a zone has this name or lies in the region of this name. */
export const isWithin = (zone: Workload.Zone, name: string): boolean =>
  zone.name === name || zone.region === name;

/** Networks of experiments. */
export const Network = {
  of({ betweenZones, betweenRegions }: Workload, book: TallyBook): Network {
    const cuts = new Set<string>();
    return {
      delay: (from, to) =>
        from.name === to.name ? sameZone : from.region === to.region ? betweenZones : betweenRegions,
      reaches: (from, to) => ![...cuts].some((name) => isWithin(from, name) !== isWithin(to, name)),
      cut: (inside) => void cuts.add(inside),
      heal: (inside) => void cuts.delete(inside),
      carry(from, to, bytes) {
        if (from.region !== to.region) book.count('bytes between regions', bytes);
        else if (from.name !== to.name) book.count('bytes between zones', bytes);
      },
    };
  },
};

/** Idle connections of one proxy, by server. */
export class Connections {
  private readonly idle = new Map<string, number[]>();

  constructor(
    private readonly timeline: Timeline,
    private readonly keptFor: number,
  ) {}

  has(instance: string): boolean {
    const { timeline } = this;
    const kept = (this.idle.get(instance) ?? []).filter((until) => until > timeline.now());
    this.idle.set(instance, kept);
    return kept.length > 0;
  }

  take(instance: string): boolean {
    return this.has(instance) && this.idle.get(instance)!.pop() !== undefined;
  }

  give(instance: string): void {
    const kept = this.idle.get(instance) ?? [];
    kept.push(this.timeline.now() + this.keptFor);
    this.idle.set(instance, kept);
  }

  /** Opens a connection beside requests: whether the server answers, within a time. */
  open(server: Server, from: Workload.Zone, network: Network, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const isReached = network.reaches(from, server.zone) && !server.isDark();
      const span = 2 * network.delay(from, server.zone) + server.service.handshake;
      if (isReached) this.timeline.after(span, () => resolve(server.isUp()));
      signal.addEventListener('abort', () => resolve(false), { once: true });
    });
  }

  drop(instance: string): void {
    this.idle.delete(instance);
  }
}
