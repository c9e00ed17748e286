/**
 * In-flight load that this node puts on each server. Prefill (prompts whose response has not begun) and decode
 * (responses being streamed) load a server differently and are counted separately.
 */

/** In-flight load by server. */
export type InFlight = {
  readonly of: (instance: string) => InFlight.Load;
  /** Starts a job in the prefill stage; `prefill` is its prefill work. */
  readonly begin: (instance: string, prefill: number) => InFlight.Job;
};

/** Types of the in-flight load. */
export declare namespace InFlight {
  /** Sum of prefill work, number of streaming responses, and number of all jobs. */
  type Load = { readonly prefill: number; readonly decode: number; readonly jobs: number };
  /** One request in flight; its calls may be repeated. */
  type Job = { readonly startDecode: () => void; readonly end: () => void };
}

const noLoad: InFlight.Load = { prefill: 0, decode: 0, jobs: 0 };

/** Creates trackers of in-flight load. */
export const InFlight = {
  none: noLoad,
  of(): InFlight {
    const loads = new Map<string, InFlight.Load>();
    const add = (instance: string, prefill: number, decode: number, jobs: number) => {
      const load = loads.get(instance) ?? noLoad;
      const next = {
        prefill: load.prefill + prefill,
        decode: load.decode + decode,
        jobs: load.jobs + jobs,
      };
      if (next.jobs === 0) loads.delete(instance);
      else loads.set(instance, next);
    };
    return {
      of: (instance) => loads.get(instance) ?? noLoad,
      begin(instance, prefill) {
        let stage: 'prefill' | 'decode' | 'ended' = 'prefill';
        add(instance, prefill, 0, 1);
        return {
          startDecode() {
            if (stage !== 'prefill') return;
            stage = 'decode';
            add(instance, -prefill, 1, 0);
          },
          end() {
            if (stage === 'ended') return;
            if (stage === 'prefill') add(instance, -prefill, 0, -1);
            else add(instance, 0, -1, -1);
            stage = 'ended';
          },
        };
      },
    };
  },
};
