// How busy this node keeps each server. Prefill work (bytes of prompts whose response has not begun)
// and decode work (responses being streamed) load a server differently, so they are counted apart.
export type InFlight = {
  readonly of: (instance: string) => InFlight.Load;
  readonly begin: (instance: string, prompt: number) => InFlight.Job;
};

export declare namespace InFlight {
  type Load = { readonly prefill: number; readonly decode: number; readonly jobs: number };
  type Job = { readonly startDecode: () => void; readonly end: () => void };
}

const none: InFlight.Load = { prefill: 0, decode: 0, jobs: 0 };

export const InFlight = {
  none,
  of(): InFlight {
    const levels = new Map<string, InFlight.Load>();
    const add = (instance: string, prefill: number, decode: number, jobs: number) => {
      const level = levels.get(instance) ?? none;
      const next = {
        prefill: level.prefill + prefill,
        decode: level.decode + decode,
        jobs: level.jobs + jobs,
      };
      if (next.jobs === 0) levels.delete(instance);
      else levels.set(instance, next);
    };
    return {
      of: (instance) => levels.get(instance) ?? none,
      begin(instance, prompt) {
        let stage: 'prefill' | 'decode' | 'ended' = 'prefill';
        add(instance, prompt, 0, 1);
        return {
          startDecode() {
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
