// The tracer of one change through all nodes: it reads from each node itself which stamp it holds, and
// prints when each first held the change, counted from when the trace began.
import { request } from 'undici';

export type Trace = {
  readonly node: string;
  readonly program: string;
  readonly zone: string;
  readonly via: string;
  readonly after: number | undefined;
};

export declare namespace Trace {
  type Stamp = { readonly epoch: number; readonly revision: number };
  type Node = {
    readonly node: string;
    readonly program: string;
    readonly zone: string;
    readonly via: string;
    readonly stamp: Stamp;
    readonly ops: string;
  };
}

const isAt = (held: Trace.Stamp, wanted: Trace.Stamp): boolean =>
  held.epoch > wanted.epoch || (held.epoch === wanted.epoch && held.revision >= wanted.revision);

const readStamp = async (node: Trace.Node): Promise<Trace.Stamp | undefined> => {
  if (node.ops === '') return undefined;
  try {
    const response = await request(`http://${node.ops}/health`, { headersTimeout: 800, bodyTimeout: 800 });
    return ((await response.body.json()) as { stamp: Trace.Stamp }).stamp;
  } catch {
    return undefined;
  }
};

export const Trace = {
  async run(nodes: readonly Trace.Node[], wanted: Trace.Stamp, within: number): Promise<readonly Trace[]> {
    const began = performance.now();
    const found = new Map<string, number>();
    const look = async (node: Trace.Node) => {
      while (performance.now() - began < within) {
        const stamp = await readStamp(node);
        if (stamp && isAt(stamp, wanted)) {
          found.set(node.node, performance.now() - began);
          return;
        }
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    };
    await Promise.all(nodes.map(look));
    return nodes.map(({ node, program, zone, via }) => ({
      node,
      program,
      zone,
      via,
      after: found.get(node),
    }));
  },
};
