// How busy this node keeps each server. Prefill work (bytes of prompts whose response has not begun)
// and decode work (responses being streamed) load a server differently, so they are counted apart.
export type Busyness = {
  readonly of: (instance: string) => Busyness.Load;
  readonly begin: (instance: string, prompt: number) => Busyness.Job;
};

export declare namespace Busyness {
  type Load = { readonly prefill: number; readonly decode: number; readonly jobs: number };
  type Job = { readonly toDecode: () => void; readonly end: () => void };
}

const none: Busyness.Load = { prefill: 0, decode: 0, jobs: 0 };

export const Busyness = {
  none,
  of(): Busyness {
    const loads = new Map<string, Busyness.Load>();
    const add = (instance: string, prefill: number, decode: number, jobs: number) => {
      const load = loads.get(instance) ?? none;
      const next = {
        prefill: load.prefill + prefill,
        decode: load.decode + decode,
        jobs: load.jobs + jobs,
      };
      if (next.jobs === 0) loads.delete(instance);
      else loads.set(instance, next);
    };
    return {
      of: (instance) => loads.get(instance) ?? none,
      begin(instance, prompt) {
        let stage: 'prefill' | 'decode' | 'ended' = 'prefill';
        add(instance, prompt, 0, 1);
        return {
          toDecode() {
            if (stage !== 'prefill') return;
            stage = 'decode';
            add(instance, -prompt, 1, 0);
          },
          end() {
            if (stage === 'ended') return;
            if (stage === 'prefill') add(instance, -prompt, 0, -1);
            else add(instance, 0, -1, -1);
            stage = 'ended';
          },
        };
      },
    };
  },
};
