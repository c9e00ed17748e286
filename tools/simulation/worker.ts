// One thread of the simulation: plays the seeds that it is given, one after another, and hands back what was found.
import { parentPort, workerData } from 'node:worker_threads';
import type { Fault } from './faults.js';
import { World } from './world.js';

type Asked = { readonly seed: number; readonly faults?: readonly Fault[] };

const { code } = workerData as { code: string };
Error.stackTraceLimit = 0;

parentPort?.on('message', (asked: Asked) => {
  void World.play({ ...asked, code }).then(
    (world) => {
      const lines = world.violations.length > 0 ? world.lines : [];
      parentPort?.postMessage({ ...world, lines });
    },
    (error: unknown) => {
      const violations = [{ judge: 'simulation', at: 0, text: String(error) }];
      parentPort?.postMessage({
        ...asked,
        violations,
        occasions: {},
        faults: [],
        digest: '',
        lines: [],
        events: 0,
      });
    },
  );
});
