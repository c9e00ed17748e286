// What servers tell about themselves: how much waits there, how much runs, how much of their memory is bound.
import type { Document } from '../manifest/document.js';

export type ReportSource = {
  /** One server's report, or nothing when it gave none in time. */
  readonly read: (server: Document.Server) => Promise<ReportSource.Load | undefined>;
};

export declare namespace ReportSource {
  type Load = {
    readonly instance: string;
    readonly queued: number;
    readonly active: number;
    /** Part of the server's memory that can't give way, 0 to 1. */
    readonly bound: number;
  };
}
