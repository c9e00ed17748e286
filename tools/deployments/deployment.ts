// What a deployment is made of: machines by zone, back ends, its manifest and its mix of requests.
import { createHash } from 'node:crypto';
import type { Document } from '../../src/manifest/document.js';

export type Deployment = {
  readonly name: string;
  readonly zones: readonly { readonly zone: string; readonly region: string; readonly fronts: number }[];
  readonly backEnds: readonly Deployment.BackEnd[];
  readonly manifest: Document;
  readonly mix: readonly Deployment.Kind[];
};

export declare namespace Deployment {
  type BackEnd = {
    readonly kind: 'model' | 'ordering';
    readonly group: string;
    readonly zone: string;
    readonly region: string;
    readonly count: number;
    readonly models: readonly string[];
  };
  type Kind = {
    readonly name: string;
    readonly perSecond: number;
    readonly runs: 'once' | 'repeatable' | 'resumable';
    readonly method: 'GET' | 'POST';
    readonly path: string;
    readonly key: string;
    readonly homes: readonly string[];
    readonly model?: string;
    /** What its prompts begin with, when other kinds begin with the same; else its name. */
    readonly text?: string;
    /** A value of its own for the field that takes a salt. */
    readonly forged?: string;
    readonly prefixes: number;
    readonly prefixLength: number;
    readonly ownLength: number;
    readonly tokens: number;
  };
}

export const Deployment = {
  shrink: (whole: Deployment): Deployment => ({
    ...whole,
    zones: whole.zones.map((zone) => ({ ...zone, fronts: 1 })),
    backEnds: whole.backEnds.map((backEnd) => ({ ...backEnd, count: 1 })),
  }),
  /** For earlier programs, and to measure what walls cost. */
  withoutWalls(whole: Deployment): Deployment {
    const { walls: _walls, ...manifest } = whole.manifest;
    const groups = Object.entries(manifest.groups).map(([name, { wall: _wall, ...group }]) => [name, group]);
    return { ...whole, manifest: { ...manifest, groups: Object.fromEntries(groups) } };
  },
  /** Kinds of two tenants that ask the same: one may be tried twice, one is taken up where it broke. */
  alike: (
    tenants: Readonly<Record<string, string>>,
    model: string,
    homes: readonly string[],
  ): Deployment.Kind[] =>
    Object.entries(tenants).flatMap(([tenant, key]) => {
      const common = { method: 'POST', path: '/v1/chat/completions', key, homes, prefixLength: 640 } as const;
      const same = { ...common, prefixes: 2, ownLength: 100 };
      return [
        {
          ...same,
          name: `ask-${tenant}`,
          text: 'ask',
          model,
          runs: 'repeatable',
          perSecond: 1.5,
          tokens: 15,
          forged: 'mine',
        },
        {
          ...same,
          name: `follow-${tenant}`,
          text: 'follow',
          model: 'follow',
          runs: 'resumable',
          perSecond: 1,
          tokens: 40,
        },
      ] as const;
    }),
  hash: (key: string): string => createHash('sha256').update(key).digest('hex'),
};
