/**
 * The documents of a scale run: a manifest and a platform list of a given size, shaped like the target's. Nothing ever
 * dials the servers, since no request is sent.
 */
import { createHash } from 'node:crypto';
import type { Document } from '../../src/manifest/document.js';

/** Documents by version, and the zones of the machines. */
export type World = {
  readonly zones: readonly string[];
  readonly manifest: (change: number) => Document;
  readonly servers: (serial: number) => Document.Servers;
};

/** How large the documents are. */
export declare namespace World {
  type Size = {
    readonly nodes: number;
    readonly rules: number;
    readonly servers: number;
    readonly tenants: number;
    readonly quotas: number;
  };
}

const perZone = 610 / 65;
const zonesPerRegion = 65 / 30;
const models = ['alpha', 'beta', 'gamma', 'delta'] as const;

const named = (name: string, index: number): string => `${name}-${String(index).padStart(4, '0')}`;

/** Makes the documents of a size. */
export const World = {
  of(size: World.Size): World {
    const zones = Array.from({ length: Math.max(1, Math.round(size.nodes / perZone)) }, (_none, index) =>
      named('zone', index),
    );
    const regionOf = (index: number) => named('region', Math.floor(index / zonesPerRegion));
    const regions = [...new Set(zones.map((_zone, index) => regionOf(index)))];
    const teams = Array.from({ length: size.tenants }, (_none, index) => {
      const name = named('tenant', index);
      const key = createHash('sha256').update(name).digest('hex');
      const quota = { span: 60_000, requests: 100_000 };
      const home = named('home', index % regions.length);
      return [name, { keys: [key], home, ...(index < size.quotas ? { quota } : {}) }];
    });
    const rules = Array.from({ length: size.rules }, (_none, index) => ({
      name: named('rule', index),
      match: { path: `/v1/work-${index}/*`, models: [models[index % models.length]] },
      groups: [`model-${models[index % models.length]}`],
      runs: index % 8 === 0 ? 'once' : 'repeatable',
      home: { header: 'x-home' },
      spill: regions.slice(0, 3),
      timeouts: { first_byte: 1100 + index },
    }));
    const manifest = {
      zones: Object.fromEntries(zones.map((zone, index) => [zone, { region: regionOf(index) }])),
      groups: Object.fromEntries(
        models.map((model) => [`model-${model}`, { kind: 'model', models: [model], regions }]),
      ),
      homes: Object.fromEntries(
        regions.map((region, index) => [named('home', index), { regions: [region] }]),
      ),
      teams: Object.fromEntries(teams),
      rules,
    };
    return {
      zones,
      manifest: (change) =>
        ({
          ...manifest,
          rules: rules.map((rule, index) => (index === 0 ? { ...rule, hops: change % 16 } : rule)),
          note: `change ${change}`,
        }) as unknown as Document,
      servers: (serial) =>
        ({
          serial,
          servers: Array.from({ length: size.servers }, (_none, index) => ({
            instance: `${named('server', index)}${index === 0 ? `-run-${serial}` : ''}`,
            group: `model-${models[index % models.length]}`,
            address: `127.250.${Math.floor(index / 250)}.${1 + (index % 250)}:9000`,
            region: regionOf(index % zones.length),
            zone: zones[index % zones.length],
          })),
        }) as unknown as Document.Servers,
    };
  },
};
