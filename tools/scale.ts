// The scale run: hollow nodes, many in one process, beside real cores and two real machines, at a size that is
// told by flags. Prints what each role costs as a table, and as JSON where --json names a file.
import { writeFileSync } from 'node:fs';
import sade from 'sade';
import { Main } from './main.js';
import { Run } from './scale/run.js';
import { Table } from './scale/table.js';

type Flags = Omit<Run.Size, 'events'> & { readonly events: string; readonly json?: string };

const run = async ({ json, events, ...flags }: Flags): Promise<number> => {
  const { nodes, rules, servers, tenants, quotas, requests, seconds, changes, hosts } = flags;
  const chosen = events === 'all' ? Run.kinds : events === 'none' ? [] : events.split(',');
  const unknown = chosen.filter((one) => !Run.kinds.includes(one));
  if (unknown.length > 0)
    throw new Error(`--events knows ${Run.kinds.join(', ')}, not ${unknown.join(', ')}`);
  if (nodes < 4) throw new Error('--nodes must be at least 4');
  const report = await Run.of({
    nodes,
    rules,
    servers,
    tenants,
    quotas,
    requests,
    seconds,
    changes,
    hosts,
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
  .option('--quotas', 'how many of the teams have a quota', 0)
  .option('--requests', 'requests a second at each proxy, which earn tokens and use quotas', 16)
  .option('--seconds', 'how long to measure at rest', 5)
  .option('--changes', 'changes of the manifest, and of the list', 2)
  .option('--hosts', 'processes that hold the hollow machines', 2)
  .option('--events', `all, none, or some of ${Run.kinds.join(',')}`, 'all')
  .option('--json', 'file for the report')
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
