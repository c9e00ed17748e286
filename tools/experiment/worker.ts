/** One thread of an experiment: plays what it is given and hands back the figures. */
import { parentPort } from 'node:worker_threads';
import { World } from './world.js';

parentPort?.on('message', (play: World.Play) => {
  void World.play(play).then(
    (tally) => parentPort?.postMessage({ tally }),
    (error: unknown) =>
      parentPort?.postMessage({ error: error instanceof Error ? error.stack : String(error) }),
  );
});
