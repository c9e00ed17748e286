#!/usr/bin/env node
/** A control node, which runs on a core machine with a disk. */

import { Control } from '../control/program.js';
import { Program } from '../startup/program.js';
import { Startup } from '../startup/startup.js';

Program.main({
  name: 'bramblebend-control',
  about: 'Keeps the manifest and the platform’s list, and brings them to all nodes.',
  guard: Startup.control,
  flags: {
    node: 'name of this node',
    zone: 'zone this machine stands in',
    wire: 'address for other nodes',
    http: 'address for operators and the platform',
    seeds: 'three addresses of control nodes, comma-separated',
    data: 'folder for this node’s files',
    memory: 'memory of the machine for this process, in MB (1024)',
    descriptors: 'descriptors of the machine for this process (4096)',
  },
  start: Control.start,
});
