/**
 * Load that servers report about themselves: queued and active requests, and memory in use.
 */
import type { Document } from '../manifest/document.js';

/** A source of load reports. */
export type ReportSource = {
  /** The report of one server; undefined if it sent none in time. */
  readonly read: (server: Document.Server) => Promise<ReportSource.Load | undefined>;
};

/** Load reports. */
export declare namespace ReportSource {
  /** The load of one server. */
  type Load = {
    readonly instance: string;
    readonly queued: number;
    readonly active: number;
    /** Fraction of the server's memory that cannot be evicted, 0 to 1. */
    readonly bound: number;
  };
}
