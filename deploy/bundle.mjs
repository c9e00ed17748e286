// Builds what deploy/system.toml runs, under target/platform/bin: program.cjs holds all that is loaded, with no
// more of each package than is used; bramblebend.cjs starts it; program.cache is its code as V8 compiled it in a
// rehearsal of both roles, so that a process that starts compiles next to nothing. An argument names another folder.
import { spawnSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
import { resolve } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { build } from 'esbuild';
import { frameCode } from './frame-code.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const out = resolve(root, process.argv[2] ?? 'target/platform/bin');

/** A build on a machine that is full may rehearse in vain; without its code every start compiles all it runs. */
const mostRehearsals = 3;

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

rmSync(out, { recursive: true, force: true });
const schema = `${out}/schema.mjs`;
await build({ ...common, format: 'esm', packages: 'external', entryPoints: ['src/wire/schema.ts'], outfile: schema });
const { Schema } = await import(pathToFileURL(schema).href);

/** Where a part of a module does, a smaller one of ours takes its place. */
const lean = {
  name: 'lean',
  setup(made) {
    made.onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: `${root}platform/lean/http2.cjs` }));
    made.onLoad({ filter: /src\/wire\/schema\.ts$/ }, () => ({
      contents: frameCode(Schema.frame),
      loader: 'js',
      resolveDir: root,
    }));
  },
};

await build({
  ...common,
  entryPoints: ['platform/main.ts'],
  outfile: `${out}/program.cjs`,
  // A library of 64-bit numbers compiles WebAssembly at each start; without it, it takes its own way in JavaScript.
  define: { 'import.meta.url': 'importMetaUrl', WebAssembly: 'undefined' },
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
const rehearse = () =>
  spawnSync(
    process.execPath,
    [...flags.split(' ').filter((flag) => flag !== ''), `${out}/rehearsal.cjs`],
    { cwd: root, stdio: ['ignore', 'ignore', 'inherit'], timeout: 30_000 },
  ).status === 0;
const isRehearsed = Array.from({ length: mostRehearsals }).some(rehearse);
if (!isRehearsed) process.stderr.write('no rehearsal: the programs start without a code cache\n');
