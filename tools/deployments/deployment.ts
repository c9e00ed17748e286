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
    readonly runs: 'once' | 'repeatable';
    readonly method: 'GET' | 'POST';
    readonly path: string;
    readonly key: string;
    readonly homes: readonly string[];
    readonly model?: string;
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
  hash: (key: string): string => createHash('sha256').update(key).digest('hex'),
};
