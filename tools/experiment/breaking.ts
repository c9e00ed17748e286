/** Brings the faults of an experiment about and takes them back. */
import { match } from 'ts-pattern';
import type { Random } from '../random.js';
import type { Place } from './client.js';
import type { Deployment } from './deployment.js';
import type { Fault } from './faults.js';
import { isWithin, type Network } from './network.js';
import type { Server } from './server.js';
import type { Timeline } from './timeline.js';

export declare namespace Breaking {
  type Needs = {
    readonly faults: readonly Fault[];
    readonly timeline: Timeline;
    readonly network: Network;
    readonly deployment: Deployment;
    readonly places: readonly Place[];
    readonly random: Random;
  };
}

const drawServers = (
  { deployment, random }: Breaking.Needs,
  share: number,
  within: string | undefined,
): readonly Server[] =>
  deployment
    .servers()
    .filter(({ service, zone }) => service.engine && (within === undefined || isWithin(zone, within)))
    .map((server) => ({ server, rank: random.next() }))
    .sort((a, b) => a.rank - b.rank)
    .filter((_one, index, all) => index < Math.max(1, Math.round(share * all.length)))
    .map(({ server }) => server);

const restart = ({ deployment }: Breaking.Needs, servers: readonly Server[]): void => {
  for (const server of servers) server.start();
  deployment.warm(servers.map(({ instance }) => instance));
};

const lose = (needs: Breaking.Needs, inside: string, span: number): void => {
  const servers = needs.deployment.servers().filter(({ zone }) => isWithin(zone, inside));
  const places = needs.places.filter(({ zone }) => isWithin(zone, inside));
  for (const server of servers) server.crash();
  for (const place of places) {
    place.isUp = false;
    for (const request of place.serving) request.abort();
  }
  needs.timeline.after(span, () => {
    restart(needs, servers);
    for (const place of places) place.isUp = true;
  });
};

const flap = (needs: Breaking.Needs, servers: readonly Server[], every: number, until: number): void => {
  const { timeline } = needs;
  if (timeline.now() >= until) return;
  for (const server of servers) server.crash();
  timeline.after(every, () => {
    for (const server of servers) server.start();
    timeline.after(every, () => flap(needs, servers, every, until));
  });
};

const release = (needs: Breaking.Needs, servers: readonly Server[], gap: number): void => {
  servers.forEach((server, index) => {
    needs.timeline.after(index * gap, () => {
      const { deployment, timeline } = needs;
      deployment.leave([server.instance], true);
      deployment.add(server.zone, server.service);
      timeline.after(drainSpan, () => {
        server.crash();
        deployment.remove(server.instance);
      });
    });
  });
};

const drainSpan = 4000;

const begin = (needs: Breaking.Needs, fault: Fault): void => {
  const { timeline, network, deployment } = needs;
  const { span } = fault;
  match(fault)
    .with({ kind: 'crash' }, ({ share, in: within, isDark }) => {
      const servers = drawServers(needs, share, within);
      for (const server of servers) server.crash(isDark);
      timeline.after(span, () => restart(needs, servers));
    })
    .with({ kind: 'cold' }, ({ share, in: within }) => {
      const servers = drawServers(needs, share, within);
      for (const server of servers) server.forget();
      deployment.warm(servers.map(({ instance }) => instance));
    })
    .with({ kind: 'flap' }, ({ share, in: within, every }) =>
      flap(needs, drawServers(needs, share, within), every, timeline.now() + span),
    )
    .with({ kind: 'grey' }, ({ share, in: within, rate }) => {
      const servers = drawServers(needs, share, within);
      for (const server of servers) server.become({ greyRate: rate });
      timeline.after(span, () => {
        for (const server of servers) server.become({ greyRate: 0 });
      });
    })
    .with({ kind: 'slow' }, ({ share, in: within, factor }) => {
      const servers = drawServers(needs, share, within);
      for (const server of servers) server.become({ slowness: factor });
      timeline.after(span, () => {
        for (const server of servers) server.become({ slowness: 1 });
      });
    })
    .with({ kind: 'loss' }, ({ in: inside }) => lose(needs, inside, span))
    .with({ kind: 'cut' }, ({ in: inside }) => {
      network.cut(inside);
      timeline.after(span, () => network.heal(inside));
    })
    .with({ kind: 'scaleIn' }, ({ share, in: within }) => {
      const instances = drawServers(needs, share, within).map(({ instance }) => instance);
      deployment.leave(instances, true);
      timeline.after(span, () => {
        for (const instance of instances) {
          deployment.find(instance)?.crash();
          deployment.remove(instance);
        }
      });
    })
    .with({ kind: 'release' }, ({ share, gap }) => release(needs, drawServers(needs, share, undefined), gap))
    .with({ kind: 'burst' }, { kind: 'shift' }, () => {})
    .exhaustive();
};

/** Faults of experiments. */
export const Breaking = {
  plan(needs: Breaking.Needs): void {
    for (const fault of needs.faults) needs.timeline.after(fault.at, () => begin(needs, fault));
  },
};
