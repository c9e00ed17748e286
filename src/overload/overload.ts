/**
 * What protects one process against more than it can hold: a bound on the bytes of bodies and unread responses, on client
 * connections, on frames of links and on links, all derived from the memory and the descriptors of its machine.
 */
import type { Server } from 'node:http';
import { BodyReader } from './body-reader.js';
import { ConnectionLimiter } from './connection-limiter.js';
import { LingeringClose } from './lingering-close.js';
import { MalformedRequests } from './malformed-requests.js';
import { MemoryBudget } from './memory-budget.js';
import { ProcessLimits } from './process-limits.js';

/** The protection of one process; its programs share it. */
export type Overload = {
  /** Bytes of request bodies and of responses that are not read. */
  readonly memory: MemoryBudget;
  readonly bodies: BodyReader;
  readonly connections: Pick<ConnectionLimiter, 'openCount' | 'closedCount'>;
  readonly malformed: Pick<MalformedRequests, 'count'>;
  /** Counts the connections of a server towards the bounds, and answers what is not HTTP there. */
  readonly attach: (server: Server) => void;
  /** Bytes of frames, in and out. */
  readonly linkMemory: MemoryBudget;
  readonly maxLinks: number;
  /** Requests that may be at servers at once. */
  readonly maxRequests: number;
  readonly addMetrics: (metrics: Overload.Gauges) => void;
};

export declare namespace Overload {
  /** Registers values that are read when metrics are asked for. */
  type Gauges = { readonly gauge: (name: string, help: string, read: () => number) => void };
}

const addMetrics = (overload: Omit<Overload, 'addMetrics'>, { gauge }: Overload.Gauges): void => {
  const { memory, linkMemory, connections, malformed } = overload;
  gauge('held_bytes', 'bytes of bodies and unread responses held for clients', memory.usedBytes);
  gauge('held_bytes_limit', 'the most bytes held for clients', () => memory.limitBytes);
  gauge('held_shed', 'bodies and responses given up to make room', memory.shedCount);
  gauge('held_refused', 'reservations of bytes that were refused', memory.refusedCount);
  gauge('link_bytes', 'bytes of frames held that are not complete or not sent', linkMemory.usedBytes);
  gauge('link_shed', 'links closed to make room for frames', linkMemory.shedCount);
  gauge('client_connections', 'connections of clients, over all ports', connections.openCount);
  gauge(
    'client_connections_closed',
    'connections of clients closed because of a bound',
    connections.closedCount,
  );
  gauge(
    'requests_malformed',
    'requests whose head or framing was rejected or came too late',
    malformed.count,
  );
  gauge(
    'connections_lingered',
    'connections closed in order while their client may have been sending',
    LingeringClose.count,
  );
  gauge('discarded_bytes', 'bytes read and dropped on such connections', LingeringClose.discardedBytes);
};

/** Creates the protection of a process. */
export const Overload = {
  of(machine: ProcessLimits.Machine): Overload {
    const limits = ProcessLimits.of(machine);
    const memory = MemoryBudget.of(limits.bodyBytes);
    const connections = ConnectionLimiter.of({
      maxConnections: limits.connections,
      shedOldest: memory.shedOldest,
    });
    const malformed = MalformedRequests.of();
    const overload = {
      memory,
      bodies: BodyReader.of(memory),
      connections,
      malformed,
      attach(server: Server) {
        connections.attach(server);
        malformed.attach(server);
      },
      linkMemory: MemoryBudget.of(limits.linkBytes),
      maxLinks: limits.links,
      maxRequests: limits.requests,
    };
    return { ...overload, addMetrics: (metrics) => addMetrics(overload, metrics) };
  },
};
