/**
 * Clients that do not behave, at the ports between nodes: frames that stop just before their end, and links that never say who
 * they are. Guards against a node that runs out of memory or descriptors through its internal port (issue 52).
 */
import { describe, it } from 'node:test';
import { HostileCrowd } from '../tools/platform/hostile-crowd.js';
import { HostileKit } from './hostile-kit.js';
import type { PlatformKit } from './platform-kit.js';

const wirePort = 7720;
const frameBytes = 31 * 1024 * 1024;

describe('ports between nodes with clients that do not behave', { timeout: 170_000 }, () => {
  const scene = HostileKit.scene();

  const wire = ({ ip }: PlatformKit.Machine): string => `${ip}:${wirePort}`;
  const judge = async (machine: PlatformKit.Machine): Promise<void> => {
    await HostileKit.settle(machine, wire(machine));
    await HostileKit.askUntilServed(scene.fleet().front);
    HostileKit.check(machine);
  };
  const pressWithFrames = async (machine: PlatformKit.Machine): Promise<void> => {
    await scene.send(12, wire(machine), () => HostileCrowd.frame(frameBytes));
    await judge(machine);
  };

  it('a front holds frames that stop just before their end', () => pressWithFrames(scene.fleet().front));

  it('a control node holds frames that stop just before their end', () =>
    pressWithFrames(scene.fleet().core));

  const pressWithLinks = async (machine: PlatformKit.Machine): Promise<void> => {
    await scene.open(450, wire(machine));
    await judge(machine);
  };

  it('a front has more links than descriptors', () => pressWithLinks(scene.fleet().front));

  it('a control node has more links than descriptors', () => pressWithLinks(scene.fleet().core));
});
