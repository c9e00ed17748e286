// The house rules that a program can check: who may import whom, file length, one named export a file,
// a paragraph at the head, and no way for a process to start another.
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { builtinModules } from 'node:module';
import { join, relative } from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

const may: Readonly<Record<string, readonly string[]>> = {
  common: [],
  log: ['common'],
  overload: ['common'],
  wire: ['common', 'overload'],
  manifest: ['common'],
  startup: ['common', 'log', 'overload'],
  store: ['common', 'manifest'],
  epoch: ['common', 'wire', 'store'],
  news: ['common', 'manifest', 'wire'],
  repair: ['common', 'manifest'],
  membership: ['common', 'wire', 'manifest', 'news', 'repair'],
  duty: ['common', 'wire', 'manifest'],
  upstream: ['common', 'manifest', 'duty'],
  replica: ['common', 'wire', 'store', 'epoch'],
  proxy: [
    'common',
    'log',
    'startup',
    'overload',
    'manifest',
    'membership',
    'news',
    'upstream',
    'duty',
    'repair',
    'wire',
  ],
  agent: ['common', 'log', 'startup', 'overload', 'manifest', 'membership', 'news', 'wire', 'duty', 'repair'],
  control: [
    'common',
    'log',
    'startup',
    'overload',
    'manifest',
    'membership',
    'news',
    'wire',
    'store',
    'epoch',
    'replica',
    'duty',
    'repair',
  ],
  cli: ['common', 'manifest', 'startup'],
  bin: ['common', 'startup', 'proxy', 'agent', 'control', 'cli'],
};

const listFiles = (folder: string): string[] =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) =>
    entry.isDirectory()
      ? listFiles(join(folder, entry.name))
      : entry.name.endsWith('.ts')
        ? [join(folder, entry.name)]
        : [],
  );

const files = ['src', 'platform', 'tools', 'test'].flatMap((folder) => listFiles(join(root, folder)));
const read = (file: string) => readFileSync(file, 'utf8');
const importsOf = (text: string) =>
  [...text.matchAll(/(?:from|import\()\s*'([^']+)'/g)].map((found) => found[1]!);
const isIn = (folder: string) => (file: string) => relative(root, file).startsWith(`${folder}/`);
const sources = files.filter(isIn('src'));
const adapter = files.filter(isIn('platform'));
const modules = (JSON.parse(read(join(root, 'package.json'))) as { dependencies: Record<string, string> })
  .dependencies;

const retired: Readonly<Record<string, string>> = {
  mate: 'peer',
  mates: 'peers',
  drop: 'refuse',
  dropped: 'refused',
  drops: 'refusals',
  mishap: 'failure',
  mishaps: 'failures',
  tenure: 'term',
  tenures: 'terms',
  busyness: 'in flight',
  alarm: 'timer',
  alarms: 'timers',
};
const platformWords = [
  ...['Attempt-Id', 'Remaining-Time', 'Target-Instance', 'Server-Seal', 'Not-Executed', 'Base-Revision'],
  ...['Token-Count', 'Prompt-Prefix', 'Priority-Level', 'Expected-Revision', 'Weight-Versions'],
  ...['Warmup-Remaining', '/resolution', '/readiness', '/instances', '/configuration', '/evacuation/'],
  ...['ttl-s', 'page-token', 'next-token', 'instance-id', 'target-service', 'warmup-left-ms', 'remaining-ms'],
  ...['route-table', 'origin-host', 'path-prefix', 'route-class', 'weighted-targets', 'target-latency-ms'],
  ...['target-gap-ms', 'max-attempts', 'home-regions', 'timeout-ms', 'health-path', 'max-connections'],
  ...['warmup-s', 'warmup-per-s', 'cache-tokens', 'token-bytes', 'max-header-bytes', 'max-body-bytes'],
  ...['header-timeout-ms', 'idle-timeout-ms', 'node-name', 'machine-class', 'ip-address', 'internal-ports'],
  ...[
    'seed-nodes',
    'initial-start',
    'data-directory',
    'entry-point',
    'platform-api',
    'rate-per-s',
    'grace-s',
  ],
  ...['max-lag-ms', 'config-apply-ms', 'evacuation-ms', 'drain-ms', 'control-plane', 'BRAMBLEBEND_SETTINGS'],
].map((word) => word.toLowerCase());
const isLetter = (letter: string | undefined): boolean => letter !== undefined && /[\w-]/.test(letter);
const platformWordsIn = (text: string): string[] => {
  const code = text.replace(/^\s*\/\/.*$|\s\/\/ .*$/gm, '').toLowerCase();
  return platformWords.filter((word) => {
    for (let at = code.indexOf(word); at >= 0; at = code.indexOf(word, at + 1))
      if (!isLetter(code[at - 1]) && (word.endsWith('/') || !isLetter(code[at + word.length]))) return true;
    return false;
  });
};
// Words that operators and files on disk know from the first versions: they stay, each in these files alone and so often.
const keptOutside: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  'agent/program.ts': { links_dropped: 1, news_dropped: 1 },
  'control/program.ts': { links_dropped: 1, news_dropped: 1, tenure: 1 },
  'control/queries/read-status.ts': { tenure: 1 },
  'epoch/register.ts': { tenure: 4 },
  'proxy/filters/commit.ts': { dropped: 1 },
  'proxy/meters.ts': { drops_total: 1 },
};
const namesIn = (text: string): string[] =>
  [
    ...text
      .replace(/^\s*\/\/.*$|\s\/\/ .*$/gm, '')
      .replace(/`[^`]*`/g, (all) => [...all.matchAll(/\$\{([^}]*)\}/g)].map((found) => found[1]).join(' '))
      .replace(/'([A-Za-z_]+)'|'[^'\n]*'/g, (_all, tag) => ` ${tag ?? ''} `)
      .matchAll(/[A-Za-z_$][\w$]*/g),
  ].map((found) => found[0]);
const partsOf = (name: string): string[] =>
  (name.match(/[A-Z]?[a-z0-9]+|[A-Z]+(?![a-z])/g) ?? []).map((part) => part.toLowerCase());

describe('house rules', () => {
  it('lets each module import only what it may', () => {
    const breaches = sources.flatMap((file) => {
      const [, module = ''] = relative(root, file).split('/');
      return importsOf(read(file)).flatMap((name) => {
        if (name.startsWith('.')) {
          const [first, other = ''] = relative(root, join(file, '..', name)).split('/');
          return first === 'src' && (other === module || may[module]?.includes(other))
            ? []
            : [`${relative(root, file)} imports ${name}`];
        }
        const isDeclared = Object.keys(modules).some((one) => name === one || name.startsWith(`${one}/`));
        return isDeclared || builtinModules.includes(name.replace('node:', '')) ? [] : [`${file}: ${name}`];
      });
    });
    assert.deepEqual(breaches, []);
  });
  it('lets platform/ import src and packages, and nothing of the product or its tools platform/', () => {
    const outwards = adapter.flatMap((file) =>
      importsOf(read(file)).flatMap((name) => {
        if (!name.startsWith('.')) {
          const isDeclared = Object.keys(modules).some((one) => name === one || name.startsWith(`${one}/`));
          return isDeclared || builtinModules.includes(name.replace('node:', '')) ? [] : [`${file}: ${name}`];
        }
        const [first] = relative(root, join(file, '..', name)).split('/');
        return first === 'src' || first === 'platform' ? [] : [`${relative(root, file)} imports ${name}`];
      }),
    );
    const inwards = files
      .filter((file) => isIn('src')(file) || (isIn('tools')(file) && !isIn('tools/platform')(file)))
      .flatMap((file) =>
        importsOf(read(file))
          .filter((name) => name.startsWith('.') && isIn('platform')(join(file, '..', name)))
          .map((name) => `${relative(root, file)} imports ${name}`),
      );
    assert.deepEqual([...outwards, ...inwards], []);
    assert.equal(isIn('platform')(join(root, 'src/control', '../../platform/core.js')), true);
  });
  it('names the platform’s headers, paths and fields in platform/ alone', () => {
    const breaches = files
      .filter((file) => isIn('src')(file) || (isIn('tools')(file) && !isIn('tools/platform')(file)))
      .flatMap((file) => platformWordsIn(read(file)).map((word) => `${relative(root, file)}: ${word}`));
    assert.deepEqual(breaches, []);
    const planted = [
      "const header = 'target-instance';",
      "app.get('/evacuation/:zone/begin', go);",
      "request('/instances?page-token=' + token);",
      "const { 'ttl-s': ttl } = body;",
    ].map(platformWordsIn);
    assert.deepEqual(planted, [
      ['target-instance'],
      ['/evacuation/'],
      ['/instances', 'page-token'],
      ['ttl-s'],
    ]);
    assert.deepEqual(platformWordsIn("// Target-Instance\nconst x = 'old-target-instance-list';"), []);
    assert.ok(adapter.some((file) => platformWordsIn(read(file)).length > 0));
  });
  it('keeps commands and queries apart', () => {
    const breaches = sources.flatMap((file) => {
      const place = relative(join(root, 'src/control'), file);
      const other = place.startsWith('commands/')
        ? 'queries'
        : place.startsWith('queries/')
          ? 'commands'
          : undefined;
      return other !== undefined && importsOf(read(file)).some((name) => name.includes(other)) ? [place] : [];
    });
    assert.deepEqual(breaches, []);
  });
  it('starts no process, and reads no wall clock in a decision', () => {
    const clockReaders = /control\/commands\/|control\/data-folder\.ts/;
    const breaches = [...sources, ...adapter].flatMap((file) => {
      const text = read(file);
      const starts = /child_process|worker_threads|\bcluster\b.*from/.test(text);
      const isLog = relative(root, file) === 'src/log/log-buffer.ts';
      const withoutStamp = isLog ? text.replace('timestamp = new Date().toISOString();', '') : text;
      const clock = /Date\.now\(|new Date\(\)/.test(withoutStamp) && !clockReaders.test(file);
      return starts || clock ? [relative(root, file)] : [];
    });
    assert.deepEqual(breaches, []);
  });
  it('keeps files to 400 lines, with a paragraph at the head', () => {
    const breaches = files.flatMap((file) => {
      const lines = read(file).split('\n');
      const head = lines[0]?.startsWith('#!') ? lines[1] : lines[0];
      return lines.length > 401 || !/^(\/\/ |\/\*\*)/.test(head ?? '') ? [relative(root, file)] : [];
    });
    assert.deepEqual(breaches, []);
  });
  it('speaks the standard terms in identifiers and tags', () => {
    const wrongIn = (text: string) =>
      namesIn(text).filter((name) => partsOf(name).some((part) => Object.hasOwn(retired, part)));
    const countsOf = (names: readonly string[]) =>
      Object.fromEntries(
        [...new Set(names)].map((name) => [name, names.filter((one) => one === name).length]),
      );
    const wrong = Object.fromEntries(
      sources.flatMap((file) => {
        const names = wrongIn(read(file));
        return names.length > 0 ? [[relative(join(root, 'src'), file), countsOf(names)]] : [];
      }),
    );
    assert.deepEqual(wrong, keptOutside);
    assert.deepEqual(
      sources.filter((file) =>
        partsOf(relative(join(root, 'src'), file)).some((part) => Object.hasOwn(retired, part)),
      ),
      [],
      'a file named by a retired word',
    );
    assert.deepEqual(wrongIn("const aMate = { kind: 'dropped' }; // mishap"), ['aMate', 'dropped']);
    assert.deepEqual(namesIn("const aTimer = { kind: 'refused' }; // load"), [
      'const',
      'aTimer',
      'kind',
      'refused',
    ]);
    assert.deepEqual(partsOf('longestAnswer'), ['longest', 'answer']);
  });
  it('exports one name a file', () => {
    const breaches = [...sources, ...adapter].flatMap((file) => {
      const names = new Set(
        [...read(file).matchAll(/^export (?:declare )?(?:const|type|namespace|function|class) (\w+)/gm)].map(
          (found) => found[1],
        ),
      );
      const hasDefault = /^export default/m.test(read(file));
      const isProgram = /^src\/bin\/|^platform\/main\.ts$/.test(relative(root, file));
      return (names.size === 1 || (isProgram && names.size === 0)) && !hasDefault
        ? []
        : [relative(root, file)];
    });
    assert.deepEqual(breaches, []);
  });
});
