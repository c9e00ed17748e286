/**
 * Counters of transfers between cores, for the metrics of a core. One meter serves a core for the lifetime of its
 * process, both as primary and as backup.
 */

/** Counts bytes and payloads since the process started. */
export type TransferMeter = {
  /** Counts bytes sent as primary. */
  readonly recordSent: (bytes: number) => void;
  /** Counts bytes received as backup. */
  readonly recordReceived: (bytes: number) => void;
  /** Counts a snapshot or a tail that was synced here. */
  readonly recordApplied: (kind: 'snapshot' | 'tail') => void;
  /** The current values. */
  readonly counts: () => TransferMeter.Counts;
};

/** Types of the transfer meter. */
export declare namespace TransferMeter {
  /** The values of all counters. */
  type Counts = {
    readonly bytesSent: number;
    readonly bytesReceived: number;
    readonly snapshotsTaken: number;
    readonly tailsTaken: number;
  };
}

/** Creates transfer meters. */
export const TransferMeter = {
  /** A meter with all counters at zero. */
  of(): TransferMeter {
    const counts = { bytesSent: 0, bytesReceived: 0, snapshotsTaken: 0, tailsTaken: 0 };
    return {
      recordSent(bytes) {
        counts.bytesSent += bytes;
      },
      recordReceived(bytes) {
        counts.bytesReceived += bytes;
      },
      recordApplied(kind) {
        if (kind === 'snapshot') counts.snapshotsTaken += 1;
        else counts.tailsTaken += 1;
      },
      counts: () => ({ ...counts }),
    };
  },
};
