// The simulated world itself: what runs belongs to it, what is whole runs, what is given up on its way does not arrive;
// and the seeds that once found it otherwise.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Random } from '../tools/random.js';
import { Bundle } from '../tools/simulation/bundle.js';
import { Clock } from '../tools/simulation/clock.js';
import { Network } from '../tools/simulation/network.js';
import { Process } from '../tools/simulation/process.js';
import { Sockets } from '../tools/simulation/sockets.js';
import { Threads } from '../tools/simulation/threads.js';
import { WorldCheck } from '../tools/simulation/world-check.js';

const machineOf = (name: string, runs: boolean, isToRun = runs) => ({
  name,
  isRunning: () => runs,
  isToRun: () => isToRun,
});

describe('the check of the simulated world', () => {
  const sound = machineOf('core-1', true);

  it('finds a program that runs on a machine out of the world', () => {
    const stray = machineOf('core-6', true);
    const flaw = WorldCheck.flawOf({ built: [sound, stray], present: [sound], isSettled: false });
    assert.match(flaw ?? '', /outside the world: core-6/);
  });

  it('finds a machine that does not run although its faults are over, and not one whose faults may stand', () => {
    const idle = machineOf('core-2', false);
    const world = { built: [sound, idle], present: [sound, idle] };
    assert.match(WorldCheck.flawOf({ ...world, isSettled: true }) ?? '', /faults are over: core-2/);
    assert.equal(WorldCheck.flawOf({ ...world, isSettled: false }), undefined);
  });

  it('passes a world whose machines run or are about to', () => {
    const again = machineOf('core-2', false, true);
    const gone = machineOf('core-3', false);
    const world = { built: [sound, again, gone], present: [sound, again], isSettled: true };
    assert.equal(WorldCheck.flawOf(world), undefined);
  });
});

describe('the simulated network', () => {
  it('brings no connection that was given up while a cut held its first segment', async () => {
    const clock = Clock.of((error) => {
      throw error;
    });
    const network = Network.of(clock, Random.of(1));
    const here = Sockets.of(network, Process.of(clock, '10.0.0.1'));
    const there = Sockets.of(network, Process.of(clock, '10.0.0.2'));
    let accepted = 0;
    const server = there.createServer(() => {
      accepted += 1;
    }) as unknown as { listen: (port: number, host: string, ready: () => void) => void };
    server.listen(7000, '10.0.0.2', () => {});
    network.cut('10.0.0.1', '10.0.0.2');
    const dial = () => here.connect({ host: '10.0.0.2', port: 7000 }).on('error', () => {});
    for (let count = 0; count < 40; count += 1) dial().destroy();
    dial();
    await clock.runUntil(100);
    network.heal('10.0.0.1', '10.0.0.2');
    await clock.runUntil(3000);
    assert.equal(accepted, 1);
  });
});

describe('seeds that found faults of the simulated world', () => {
  it('find none any more: a spare replaced before it was up, a machine started while its program still ended', async () => {
    const threads = Threads.start((await Bundle.build()).code, 2);
    const worlds = await Promise.all([900_109, 900_095].map((seed) => threads.play(seed)));
    await threads.stop();
    assert.deepEqual(
      worlds.flatMap(({ violations }) => violations),
      [],
    );
    for (const { occasions } of worlds) assert.ok((occasions.worldWhole ?? 0) > 200);
  });
});
