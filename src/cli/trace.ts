/**
 * Traces a change through all nodes: each node is polled for the version that it holds. Reports when each first held the
 * change, counted from the start of the trace.
 */

import { request } from 'undici';

/** When a node first held the change. */
export type Trace = {
  readonly node: string;
  readonly program: string;
  readonly zone: string;
  readonly via: string;
  /** Milliseconds from the start of the trace, or undefined if the node did not hold it in time. */
  readonly afterMs: number | undefined;
};

export declare namespace Trace {
  /** The version of the state that a node holds. */
  type Stamp = { readonly epoch: number; readonly revision: number };
  /** A member of the fleet, as the control API lists it. */
  type Node = {
    readonly node: string;
    readonly program: string;
    readonly zone: string;
    readonly via: string;
    readonly stamp: Stamp;
    readonly ops: string;
  };
}

const hasReached = (held: Trace.Stamp, target: Trace.Stamp): boolean =>
  held.epoch > target.epoch || (held.epoch === target.epoch && held.revision >= target.revision);

const readStamp = async (node: Trace.Node): Promise<Trace.Stamp | undefined> => {
  if (node.ops === '') return undefined;
  try {
    const response = await request(`http://${node.ops}/health`, { headersTimeout: 800, bodyTimeout: 800 });
    return ((await response.body.json()) as { stamp: Trace.Stamp }).stamp;
  } catch {
    return undefined;
  }
};

/** Traces changes. */
export const Trace = {
  /** Polls all nodes until they hold the change or the time is up. */
  async run(nodes: readonly Trace.Node[], target: Trace.Stamp, timeoutMs: number): Promise<readonly Trace[]> {
    const began = performance.now();
    const firstHeld = new Map<string, number>();
    const poll = async (node: Trace.Node) => {
      while (performance.now() - began < timeoutMs) {
        const stamp = await readStamp(node);
        if (stamp && hasReached(stamp, target)) {
          firstHeld.set(node.node, performance.now() - began);
          return;
        }
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    };
    await Promise.all(nodes.map(poll));
    return nodes.map(({ node, program, zone, via }) => ({
      node,
      program,
      zone,
      via,
      afterMs: firstHeld.get(node),
    }));
  },
};
