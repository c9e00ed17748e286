/** What goes wrong in an experiment, by time; read from a YAML file. */
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import type { Workload } from './workload.js';

/** One fault. Times are in milliseconds from the first request on. */
export type Fault = {
  readonly at: number;
  readonly span: number;
} /** A dark one answers nothing at all; the others' connections are reset. */ & (
  | { readonly kind: 'crash'; readonly share: number; readonly in?: string; readonly isDark?: boolean }
  | { readonly kind: 'cold'; readonly share: number; readonly in?: string }
  | { readonly kind: 'flap'; readonly share: number; readonly every: number; readonly in?: string }
  /** Fails this part of its requests, while it says that it is well. */
  | { readonly kind: 'grey'; readonly share: number; readonly rate: number; readonly in?: string }
  | { readonly kind: 'slow'; readonly share: number; readonly factor: number; readonly in?: string }
  /** Proxies and servers of a zone or region are down, and come back cold. */
  | { readonly kind: 'loss'; readonly in: string }
  /** What is inside a zone or region and what is outside don't reach each other. */
  | { readonly kind: 'cut'; readonly in: string }
  | { readonly kind: 'burst'; readonly factor: number; readonly of?: string }
  /** This share of the clients of all zones come from one zone. */
  | { readonly kind: 'shift'; readonly share: number; readonly to: string }
  /** Servers are told as leaving and end after the span. */
  | { readonly kind: 'scaleIn'; readonly share: number; readonly in?: string }
  /** Servers are replaced by new ones, one every gap. */
  | { readonly kind: 'release'; readonly share: number; readonly gap: number }
);

/** Lists of faults, and what of them concerns the traffic. */
export const Fault = {
  read: (path: string): readonly Fault[] => (parse(readFileSync(path, 'utf8')) as Fault[] | null) ?? [],
  isWithin: (fault: Fault, at: number): boolean => at >= fault.at && at < fault.at + fault.span,
  /** How the faults change the rate of a kind in a zone. */
  pressOf:
    (faults: readonly Fault[], zones: readonly Workload.Zone[]): Workload.Press =>
    (at, kind, zone) => {
      let factor = 1;
      for (const fault of faults) {
        if (!Fault.isWithin(fault, at)) continue;
        if (fault.kind === 'burst' && (fault.of === undefined || fault.of === kind.name))
          factor *= fault.factor;
        if (fault.kind === 'shift')
          factor *= zone.name === fault.to ? 1 + fault.share * (zones.length - 1) : 1 - fault.share;
      }
      return factor;
    },
};
