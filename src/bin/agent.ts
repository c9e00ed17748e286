#!/usr/bin/env node
/** The agent, which runs beside each proxy: it keeps the connection to the control plane and updates the proxy. */

import { Agent } from '../agent/program.js';
import { Program } from '../startup/program.js';
import { Startup } from '../startup/startup.js';

Program.main({
  name: 'bramblebend-agent',
  about: 'Keeps a session with the control plane, relays news and feeds its proxy.',
  guard: Startup.agent,
  flags: {
    node: 'name of this node',
    zone: 'zone this machine stands in',
    wire: 'address for other nodes',
    feed: 'loopback address for the proxy',
    ops: 'address of the operations port',
    seeds: 'three addresses of control nodes, comma-separated',
    memory: 'memory of the machine for this process, in MB (1024)',
    descriptors: 'descriptors of the machine for this process (4096)',
  },
  start: Agent.start,
});
