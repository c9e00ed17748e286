/** What a process holds of its machine, as the system tells it. */
import { readdirSync, readFileSync } from 'node:fs';

/** The memory and the descriptors of a process. */
export type ProcessUse = {
  /** The highest memory that was resident so far, in MB. */
  readonly peakMemoryMb: number;
  readonly descriptors: number;
};

const kilobytesPerMb = 1024;

/** Reads what a process holds. */
export const ProcessUse = {
  /** What it holds now; undefined when it has ended. */
  of(processId: number): ProcessUse | undefined {
    try {
      const status = readFileSync(`/proc/${processId}/status`, 'utf8');
      const peak = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
      if (peak === undefined) return undefined;
      return {
        peakMemoryMb: Number(peak) / kilobytesPerMb,
        descriptors: readdirSync(`/proc/${processId}/fd`).length,
      };
    } catch {
      return undefined;
    }
  },
};
