// Builds what deploy/system.toml runs, under target/platform/bin: program.cjs holds all that is loaded, with no
// more of each package than is used; bramblebend.cjs starts it; program.cache is its code as V8 compiled it in a
// rehearsal of both roles, so that a process that starts compiles next to nothing.
import { spawnSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));
const out = `${root}target/platform/bin`;

const common = {
  absWorkingDir: root,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
};

/** Packages of which a part does: a module of ours names the parts. */
const lean = {
  name: 'lean',
  setup(made) {
    made.onResolve({ filter: /^undici$/ }, () => ({ path: `${root}platform/lean/undici.cjs` }));
  },
};

rmSync(out, { recursive: true, force: true });
await build({
  ...common,
  entryPoints: ['platform/main.ts'],
  outfile: `${out}/program.cjs`,
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: 'const importMetaUrl=require("node:url").pathToFileURL(__filename).href;' },
  plugins: [lean],
});
const entry = (name, contents) =>
  build({ ...common, stdin: { contents, resolveDir: root, sourcefile: name, loader: 'ts' }, outfile: `${out}/${name}` });
await entry('bramblebend.cjs', "import { Code } from './platform/code.ts'; Code.of(__dirname).run();");
await entry(
  'rehearsal.cjs',
  `import { Rehearsal } from './tools/platform/rehearsal.ts';
  Rehearsal.run(__dirname).then(
    () => process.exit(0),
    (error) => { process.stderr.write(String(error) + '\\n'); process.exit(1); },
  );`,
);

const flags = /^run = "node (.*?) ?target\//m.exec(readFileSync(`${root}deploy/system.toml`, 'utf8'))?.[1] ?? '';
const rehearsal = spawnSync(
  process.execPath,
  [...flags.split(' ').filter((flag) => flag !== ''), `${out}/rehearsal.cjs`],
  { cwd: root, stdio: ['ignore', 'ignore', 'inherit'], timeout: 30_000 },
);
if (rehearsal.status !== 0) process.stderr.write('no rehearsal: the programs start without a code cache\n');
