// Waits until a change is in force, as each proxy itself tells it, and measures how long that took.
import { request } from 'undici';
import type { Document } from '../src/manifest/document.js';
import type { FleetKit } from './fleet-kit.js';

export type InForce = { readonly revision: number };

type Health = { readonly stamp: { readonly epoch: number; readonly revision: number } };

const unconfirmedWithin = 10_000;

const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const readHealth = async (address: string): Promise<Health | undefined> => {
  try {
    const answer = await request(`http://${address}/health`, { headersTimeout: 1000 });
    return (await answer.body.json()) as Health;
  } catch {
    return undefined;
  }
};

export const InForce = {
  async putWhenReady(kit: FleetKit, document: Document, within = 20_000): Promise<number> {
    const began = performance.now();
    for (;;) {
      const put = await kit.putManifest(document).catch(() => undefined);
      if (put?.status === 200) return put.body.revision as number;
      if (performance.now() - began > within)
        throw new Error(`no manifest was taken: ${JSON.stringify(put?.body)}`);
      await pause(50);
    }
  },
  async stamp(kit: FleetKit, among = kit.cores): Promise<Health['stamp']> {
    const began = performance.now();
    for (;;) {
      const status = await kit.operate('GET', '/v1/status', undefined, {}, among);
      if (status.status === 200) return status.body.stamp as Health['stamp'];
      if (performance.now() - began > unconfirmedWithin) throw new Error(`status answered ${status.status}`);
      await pause(20);
    }
  },
  async everywhere(kit: FleetKit, among = kit.fronts, within = 20_000, cores = kit.cores): Promise<number> {
    const began = performance.now();
    const wanted = await InForce.stamp(kit, cores);
    for (;;) {
      const told = await Promise.all(among.map((front) => readHealth(front.ops)));
      const isEverywhere = told.every(
        (health) =>
          health !== undefined &&
          (health.stamp.epoch > wanted.epoch ||
            (health.stamp.epoch === wanted.epoch && health.stamp.revision >= wanted.revision)),
      );
      if (isEverywhere) return performance.now() - began;
      if (performance.now() - began > within) throw new Error('not in force everywhere in time');
      await pause(10);
    }
  },
};
