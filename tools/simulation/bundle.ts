// The control program as one script, built from the sources as they are. Node's own modules and the libraries stay
// outside, so that a simulated process is given its own clock, network and disk in place of Node's. A planted defect is
// a replacement in one source file, made here and nowhere else.
import { readFileSync } from 'node:fs';
import { relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build, type Plugin } from 'esbuild';

export type Bundle = { readonly code: string };

export declare namespace Bundle {
  /** A replacement in one source file; the text must stand there. */
  type Change = { readonly file: string; readonly from: string; readonly to: string };
}

const root = fileURLToPath(new URL('../../../', import.meta.url));

/**
 * The schema of the frames keeps nothing between calls; all processes share one, for it takes long to make. Calls by
 * HTTP go over the simulated network.
 */
const replacing: Plugin = {
  name: 'replacing',
  setup(made) {
    made.onResolve({ filter: /\/schema\.js$/ }, () => ({ path: Bundle.schema, external: true }));
    made.onResolve({ filter: /\/http-client\.js$/ }, () => ({ path: Bundle.httpClient, external: true }));
  },
};

const planting = (changes: readonly Bundle.Change[]): Plugin => ({
  name: 'planting',
  setup(made) {
    made.onLoad({ filter: /\.ts$/ }, ({ path }) => {
      const file = relative(root, path);
      const mine = changes.filter((one) => one.file === file);
      if (mine.length === 0) return undefined;
      let contents = readFileSync(path, 'utf8');
      for (const { from, to } of mine) {
        if (!contents.includes(from)) throw new Error(`${file} has no ${from}`);
        contents = contents.replace(from, () => to);
      }
      return { contents, loader: 'ts' };
    });
  },
});

export const Bundle = {
  schema: 'shared:schema',
  httpClient: 'simulated:http-client',
  async build(
    changes: readonly Bundle.Change[] = [],
    entry = 'tools/simulation/program.ts',
  ): Promise<Bundle> {
    for (const { file, from } of changes)
      if (!readFileSync(`${root}${file}`, 'utf8').includes(from)) throw new Error(`${file} has no ${from}`);
    const { outputFiles } = await build({
      absWorkingDir: root,
      entryPoints: [entry],
      bundle: true,
      write: false,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      packages: 'external',
      logLevel: 'silent',
      define: {
        'import.meta.url': '"file:///program/dist/src/startup/version.js"',
        'Math.random': 'simulatedRandom',
      },
      plugins: [replacing, planting(changes)],
    });
    return { code: outputFiles[0]!.text };
  },
};
