/**
 * What protects one process against more than it can hold: a bound on the bytes of bodies and unread responses, on client
 * connections, all derived from the memory and the descriptors of its machine.
 */
import { BodyReader } from './body-reader.js';
import { MemoryBudget } from './memory-budget.js';
import { ProcessLimits } from './process-limits.js';

/** The protection of one process; its programs share it. */
export type Overload = {
  /** Bytes of request bodies and of responses that are not read. */
  readonly memory: MemoryBudget;
  readonly bodies: BodyReader;
  readonly addMetrics: (metrics: Overload.Gauges) => void;
};

export declare namespace Overload {
  /** Registers values that are read when metrics are asked for. */
  type Gauges = { readonly gauge: (name: string, help: string, read: () => number) => void };
}

const addMetrics = (overload: Omit<Overload, 'addMetrics'>, { gauge }: Overload.Gauges): void => {
  const { memory } = overload;
  gauge('held_bytes', 'bytes of bodies and unread responses held for clients', memory.usedBytes);
  gauge('held_bytes_limit', 'the most bytes held for clients', () => memory.limitBytes);
  gauge('held_shed', 'bodies and responses given up to make room', memory.shedCount);
  gauge('held_refused', 'reservations of bytes that were refused', memory.refusedCount);
};

/** Creates the protection of a process. */
export const Overload = {
  of(machine: ProcessLimits.Machine): Overload {
    const limits = ProcessLimits.of(machine);
    const memory = MemoryBudget.of(limits.bodyBytes);
    const overload = {
      memory,
      bodies: BodyReader.of(memory),
    };
    return { ...overload, addMetrics: (metrics) => addMetrics(overload, metrics) };
  },
};
