/**
 * Clients that do not behave, at the ports between nodes: frames that stop just before their end, and links that never say who
 * they are. Guards against a node that runs out of memory or descriptors through its internal port (issue 52).
 */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { HostileCrowd } from '../tools/platform/hostile-crowd.js';
import { HostileKit } from './hostile-kit.js';
import type { PlatformKit } from './platform-kit.js';

const wirePort = 7720;
const frameBytes = 31 * 1024 * 1024;

describe('ports between nodes with clients that do not behave', { timeout: 170_000 }, () => {
  let fleet: HostileKit;
  let crowd: Socket[];

  beforeEach(async () => {
    fleet = await HostileKit.start();
    crowd = [];
  });
  afterEach(async () => {
    for (const socket of crowd) socket.destroy();
    await fleet.end();
  });

  const wire = ({ ip }: PlatformKit.Machine): string => `${ip}:${wirePort}`;
  const pressWithFrames = async (machine: PlatformKit.Machine): Promise<void> => {
    crowd = await HostileCrowd.openMany(12, wire(machine));
    await Promise.all(crowd.map((socket) => HostileCrowd.send(socket, HostileCrowd.frame(frameBytes))));
    await HostileKit.settle(machine, wire(machine));
    await HostileKit.askUntilServed(fleet.front);
    HostileKit.check(machine);
  };

  it('a front holds frames that stop just before their end', () => pressWithFrames(fleet.front));

  it('a control node holds frames that stop just before their end', () => pressWithFrames(fleet.core));

  const pressWithLinks = async (machine: PlatformKit.Machine): Promise<void> => {
    crowd = await HostileCrowd.openMany(450, wire(machine));
    await HostileKit.settle(machine, wire(machine));
    await HostileKit.askUntilServed(fleet.front);
    HostileKit.check(machine);
  };

  it('a front has more links than descriptors', () => pressWithLinks(fleet.front));

  it('a control node has more links than descriptors', () => pressWithLinks(fleet.core));
});
