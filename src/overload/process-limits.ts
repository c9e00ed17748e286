/**
 * What clients and peers may make one process hold, derived from the memory and the descriptors that its machine gives it. The
 * shares add up to less than the whole; the rest is for the program itself, its connections to servers and its files.
 */
const bytesPerMb = 1024 * 1024;
/** Where the startup says nothing: the memory, in MB, and the descriptors of a small machine. */
const defaultMemoryMb = 1024;
const defaultDescriptors = 4096;
/** Descriptors kept for files and for what the runtime opens. */
const fileDescriptors = 200;
/** Parts of the memory for request and response bodies, for client connections, and for frames of links. */
const bodyShare = 1 / 6;
const connectionShare = 1 / 8;
const linkShare = 1 / 8;
/** What an open connection is taken to hold, in bytes: its objects, its parser, and a head of the default size. */
const connectionBytes = 28 * 1024;
/** Parts of the sockets for client connections, for links, and for connections to servers. */
const connectionSocketShare = 0.6;
const linkSocketShare = 0.15;
const serverSocketShare = 0.2;

/** The bounds of one process. */
export type ProcessLimits = {
  /** Bytes of request bodies and unread responses, over all client ports. */
  readonly bodyBytes: number;
  /** Client connections, over all client ports. */
  readonly connections: number;
  /** Bytes of frames that have not arrived completely, over all links. */
  readonly linkBytes: number;
  /** Accepted links. */
  readonly links: number;
  /** Requests that may be at servers at once, each on a connection of its own. */
  readonly requests: number;
};

export declare namespace ProcessLimits {
  /** What the machine gives the process. */
  type Machine = {
    /** In MB. */
    readonly memory?: number | undefined;
    readonly descriptors?: number | undefined;
  };
}

/** Derives the bounds. */
export const ProcessLimits = {
  of({
    memory: memoryMb = defaultMemoryMb,
    descriptors = defaultDescriptors,
  }: ProcessLimits.Machine): ProcessLimits {
    const memory = memoryMb * bytesPerMb;
    const sockets = Math.max(1, descriptors - fileDescriptors);
    const forSockets = Math.floor(sockets * connectionSocketShare);
    const forMemory = Math.floor((memory * connectionShare) / connectionBytes);
    return {
      bodyBytes: Math.floor(memory * bodyShare),
      connections: Math.max(1, Math.min(forSockets, forMemory)),
      linkBytes: Math.floor(memory * linkShare),
      links: Math.max(1, Math.floor(sockets * linkSocketShare)),
      requests: Math.max(1, Math.floor(sockets * serverSocketShare)),
    };
  },
};
