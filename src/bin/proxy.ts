#!/usr/bin/env node
/** The proxy, which runs on a front machine and receives the clients' requests. */

import { ProxyProgram } from '../proxy/program.js';
import { Program } from '../startup/program.js';
import { Startup } from '../startup/startup.js';

Program.main({
  name: 'bramblebend-proxy',
  about: 'Serves callers: matches rules, picks servers, tries, commits and streams.',
  guard: Startup.proxy,
  flags: {
    node: 'name of this node',
    zone: 'zone this machine stands in',
    listen: 'address of the callers’ port',
    ops: 'address of the operations port',
    agent: 'loopback address of the agent’s feed',
    ready_path: 'path that tells readiness on the operations port, beside /ready',
    concurrent: 'most requests served at once (512)',
    drain: 'milliseconds that requests may finish in after SIGTERM (30000)',
    linger: 'milliseconds in which new connections are still taken while draining (0)',
    memory: 'memory of the machine for this process, in MB (1024)',
    descriptors: 'descriptors of the machine for this process (4096)',
  },
  start: ProxyProgram.start,
});
