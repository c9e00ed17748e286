/**
 * The scale run: a fleet of real processes on loopback at a size that is told by flags. Prints what each role costs as a
 * table, and as JSON where --json names a file.
 */
import { writeFileSync } from 'node:fs';
import sade from 'sade';
import { Main } from './main.js';
import { Run } from './scale/run.js';
import { Table } from './scale/table.js';

/** Each machine is two processes. */
const mostNodes = 100;

type Flags = Omit<Run.Size, 'events' | 'quotas'> & { readonly events: string; readonly json?: string };

const run = async ({ json, events, ...flags }: Flags): Promise<number> => {
  const { nodes, rules, servers, tenants, seconds, changes } = flags;
  const chosen = events === 'all' ? Run.kinds : events === 'none' ? [] : events.split(',');
  const unknown = chosen.filter((one) => !Run.kinds.includes(one));
  if (unknown.length > 0)
    throw new Error(`--events knows ${Run.kinds.join(', ')}, not ${unknown.join(', ')}`);
  if (nodes < 4 || nodes > mostNodes) throw new Error(`--nodes must be 4 to ${mostNodes}`);
  const report = await Run.of({
    nodes,
    rules,
    servers,
    tenants,
    quotas: 0,
    seconds,
    changes,
    events: chosen,
  });
  process.stdout.write(`${Table.text(report)}\n`);
  if (json !== undefined) writeFileSync(json, `${JSON.stringify(report)}\n`);
  return report.events.every((event) => event.last !== undefined) ? 0 : 1;
};

sade('scale', true)
  .option('--nodes', 'machines, each with an agent and a proxy', 20)
  .option('--rules', 'rules of the manifest', 8)
  .option('--servers', 'servers of the platform’s list', 20)
  .option('--tenants', 'teams of the manifest', 8)
  .option('--seconds', 'how long to measure at rest', 5)
  .option('--changes', 'changes of the manifest, and of the list', 2)
  .option('--events', `all, none, or some of ${Run.kinds.join(',')}`, 'all')
  .option('--json', 'file for the report')
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
