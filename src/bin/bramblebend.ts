#!/usr/bin/env node
/** The operators' command line. */

import sade from 'sade';
import { Client } from '../cli/client.js';
import { Commands } from '../cli/commands.js';
import { Fleet } from '../cli/fleet.js';
import { ReadLog } from '../cli/read-log.js';
import { Failure } from '../common/failure.js';
import { Version } from '../startup/version.js';

type Flags = {
  control?: string;
  token?: string;
  'if-match'?: string;
  key?: string;
  within?: string;
  lose?: string;
  model?: string;
  path?: string;
  keys?: string;
  through?: string;
  rounds?: string;
  json?: boolean;
};

const clientOf = (flags: Flags): Client => {
  const addresses = (flags.control ?? process.env.BRAMBLEBEND_CONTROL ?? '')
    .split(',')
    .filter((one) => one !== '');
  const token = flags.token ?? process.env.BRAMBLEBEND_TOKEN ?? '';
  if (addresses.length === 0 || token === '') {
    process.stderr.write(
      'the control plane is not set: use --control and --token, or BRAMBLEBEND_CONTROL and BRAMBLEBEND_TOKEN\n',
    );
    process.exit(2);
  }
  return Client.of(addresses, token);
};

/** Prints the result of a command and sets the exit code. */
const report = (work: Promise<Commands> | Commands): void => {
  Promise.resolve(work).then(
    ({ text, notes, code }) => {
      process.stdout.write(`${text}\n`);
      if (notes) process.stderr.write(`${notes}\n`);
      process.exitCode = code;
    },
    (error) => {
      process.stderr.write(`${(error as Error).message}\n`);
      process.exitCode = Failure.is(error, 'startup') ? 2 : 3;
    },
  );
};

/** Runs a command that needs no control plane; what it throws is printed too. */
const reportLocal = (work: () => Commands): void => report(Promise.resolve().then(work));

const outputOptions = (flags: Flags): Fleet => ({ isJson: flags.json === true });

const cli = sade('bramblebend')
  .version(Version)
  .option('--control', 'HTTP addresses of the control nodes, comma-separated')
  .option('--token', 'operator’s token')
  .option('--json', 'JSON instead of a table, where a command prints one', false);

cli
  .command('manifest get [revision]', 'Print the manifest in force, or a kept one')
  .action((revision: string | undefined, flags: Flags) => report(Commands.get(clientOf(flags), revision)));
cli
  .command('manifest put <file>', 'Replace the manifest by a file (- for standard input)')
  .option('--if-match', 'revision that it replaces (the one in force)')
  .option('--key', 'idempotency key, to repeat the very same put safely')
  .action((file: string, flags: Flags) => {
    const tag = flags['if-match'] === undefined ? undefined : `"${flags['if-match']}"`;
    report(Commands.put(clientOf(flags), file, tag, flags.key));
  });
cli
  .command('manifest check <file>', 'Check a manifest without taking it')
  .action((file: string) => reportLocal(() => Commands.check(file)));
cli
  .command('manifest import <file>', 'Turn an Envoy configuration (YAML or JSON) into a manifest draft')
  .action((file: string) => reportLocal(() => Commands.import(file)));
cli
  .command('manifest diff <file>', 'Show how a file differs from the manifest in force')
  .action((file: string, flags: Flags) => report(Commands.diff(clientOf(flags), file)));
cli
  .command('manifest rollback <revision>', 'Take back a kept manifest as a new revision')
  .action((revision: string, flags: Flags) => report(Commands.rollback(clientOf(flags), revision)));
cli
  .command('evacuation list', 'Show which zones get nothing new')
  .action((flags: Flags) => report(Fleet.evacuations(clientOf(flags), outputOptions(flags))));
cli
  .command('evacuation begin <zone>', 'Give a zone nothing new, and change nothing else', {
    alias: 'zone evacuate',
  })
  .action((zone: string, flags: Flags) =>
    report(Fleet.evacuate(clientOf(flags), zone, 'begin', outputOptions(flags))),
  );
cli
  .command('evacuation finish <zone>', 'Take an evacuated zone back, and change nothing else', {
    alias: 'zone restore',
  })
  .action((zone: string, flags: Flags) =>
    report(Fleet.evacuate(clientOf(flags), zone, 'finish', outputOptions(flags))),
  );
cli
  .command('nodes', 'List the members')
  .action((flags: Flags) => report(Commands.nodes(clientOf(flags), flags.json === true)));
cli
  .command('status', 'Show which revision is in force where, and who leads')
  .action((flags: Flags) => report(Commands.status(clientOf(flags))));
cli
  .command('usage', 'Show what each team with a quota used of it')
  .action((flags: Flags) => report(Commands.usage(clientOf(flags), flags.json === true)));
cli
  .command('directory [zone]', 'Show where callers of a zone go, or of each')
  .action((zone: string | undefined, flags: Flags) =>
    report(Fleet.directory(clientOf(flags), zone, outputOptions(flags))),
  );
cli
  .command(
    'servers [group]',
    'Show the servers: state, load, and at how many proxies they are cold, out or dark',
  )
  .action((group: string | undefined, flags: Flags) =>
    report(Fleet.servers(clientOf(flags), group, outputOptions(flags))),
  );
cli
  .command('budget', 'Show the tokens for extra tries: in the pool and at each proxy')
  .action((flags: Flags) => report(Fleet.budget(clientOf(flags), outputOptions(flags))));
cli
  .command('tree', 'Show the tree that news goes down')
  .action((flags: Flags) => report(Fleet.tree(clientOf(flags), outputOptions(flags))));
cli.command('audit', 'List the changes').action((flags: Flags) => report(Commands.audit(clientOf(flags))));
cli
  .command('trace [file]', 'Put a file and follow the change through all nodes; without one, the newest')
  .option('--within', 'milliseconds to follow it for (5000)')
  .action((file: string | undefined, flags: Flags) =>
    report(Commands.trace(clientOf(flags), file, Number(flags.within ?? 5000))),
  );
cli
  .command(
    'walls',
    'Ask the fleet the same prompts as two tenants and see whether one matches the other’s work',
  )
  .option('--keys', 'keys of two tenants, comma-separated (or BRAMBLEBEND_PROBE_KEYS)')
  .option('--model', 'a model that both may ask')
  .option('--path', 'path of the calls (/v1/chat/completions)')
  .option('--through', 'addresses of proxies, comma-separated (one of each zone)')
  .option('--rounds', 'most rounds for each pair of proxies (16)')
  .action((flags: Flags) => {
    const list = (text: string | undefined) => (text ?? '').split(',').filter((one) => one !== '');
    const [first, second, ...more] = list(flags.keys ?? process.env.BRAMBLEBEND_PROBE_KEYS);
    const rounds = Number(flags.rounds ?? 16);
    if (!first || !second || more.length > 0 || !flags.model || !(rounds >= 1)) {
      process.stderr.write('two keys (--keys A,B or BRAMBLEBEND_PROBE_KEYS) and --model are required\n');
      process.exit(2);
    }
    const { model, path = '/v1/chat/completions' } = flags;
    const options = { keys: [first, second] as const, model, path, rounds, through: list(flags.through) };
    report(Commands.walls(() => clientOf(flags), options));
  });
cli
  .command('cores force', 'LOSES STATE: make two cores go on when the third is gone for good')
  .option('--lose', 'must read: what only the missing core holds')
  .action((flags: Flags) => report(Commands.force(clientOf(flags), flags.lose)));
cli
  .command('log <address>', 'Read the log ring of a program, by its operations address')
  .action((address: string) => report(ReadLog.run(address).then((text) => ({ text, code: 0 }))));
cli.parse(
  process.argv.map((word) => (word === '-' ? '/dev/stdin' : word)),
  {
    unknown(flag) {
      process.stderr.write(`${flag} is not known here; bramblebend COMMAND --help lists the flags\n`);
      process.exit(2);
    },
  },
);
