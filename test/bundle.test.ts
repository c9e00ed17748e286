/**
 * The build for the platform: generated frame codecs are equivalent to the schema, and programs start with the V8 code cache,
 * without it and with a damaged one.
 */
import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { Schema } from '../src/wire/schema.js';
import { Random } from '../tools/random.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const shape = { longs: Number, defaults: true, arrays: true, oneofs: true } as const;
type Type = typeof Schema.frame;
type Codec = Pick<Type, 'encode' | 'decode' | 'fromObject' | 'toObject'>;
type Result = { readonly is: unknown } | { readonly fails: string };

const random = Random.of(7);

const valueGenerators: Readonly<Record<string, () => unknown>> = {
  string: () => random.pick(['', 'a', 'ä—', 'x'.repeat(200)]),
  double: () => random.pick([0, -0, 1.5, -2e300]),
  float: () => random.pick([0, -0, 1.5, -0.25]),
  bool: () => random.next() < 0.5,
  uint32: () => random.pick([0, 1, 2 ** 32 - 1]),
  uint64: () => random.pick([0, 1, 2 ** 40, Number.MAX_SAFE_INTEGER]),
  bytes: () => Buffer.from(Array.from({ length: random.below(40) }, () => random.below(256))),
};

/** A random message of the type, with fields left out at random. */
const generateMessage = (type: Type): Record<string, unknown> => {
  const body = type.oneofsArray.flatMap((one) => one.oneof);
  const chosen = random.pick(body);
  return Object.fromEntries(
    type.fieldsArray.flatMap((field) => {
      if (body.includes(field.name) ? field.name !== chosen : random.next() < 0.3) return [];
      const { resolvedType } = field.resolve();
      const make = () =>
        resolvedType ? generateMessage(resolvedType as Type) : valueGenerators[field.type]!();
      return [[field.name, field.repeated ? Array.from({ length: random.below(4) }, make) : make()]];
    }),
  );
};

const resultOf = (work: () => unknown): Result => {
  try {
    return { is: work() };
  } catch (error) {
    return { fails: String(error) };
  }
};

const writeSettings = (folder: string): string => {
  const file = join(folder, 'settings.yaml');
  mkdirSync(join(folder, 'disk'), { recursive: true });
  const ip = `127.${process.pid % 250}.77.3`;
  writeFileSync(
    file,
    `node-name: "a-core"
ip-address: "${ip}"
zone: "z"
region: "r"
zones:
  z: "r"
bindings:
  control-plane: "${ip}:8166"
internal-ports:
  - 7720
  - 7735
seed-nodes:
  - "${ip}:8166"
initial-start: true
data-directory: ${JSON.stringify(join(folder, 'disk'))}
`,
  );
  return file;
};

describe('build for the platform', () => {
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-bundle-'));
  const out = join(root, 'target', `test-${process.pid}`, 'bin');
  const program = join(out, 'bramblebend.cjs');
  const env = { PATH: process.env.PATH, BRAMBLEBEND_SETTINGS: writeSettings(folder) };
  let built: ReturnType<typeof spawnSync>;
  before(() => {
    built = spawnSync(process.execPath, [join(root, 'deploy/bundle.mjs'), out], {
      encoding: 'utf8',
      timeout: 60_000,
    });
  });
  after(() => {
    rmSync(folder, { recursive: true, force: true });
    rmSync(join(out, '..'), { recursive: true, force: true });
  });

  const startUntilReady = async (): Promise<Record<string, unknown>> => {
    const child = spawn(process.execPath, ['--max-old-space-size=160', program, 'control'], {
      env,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    try {
      const line = await new Promise<string>((resolve, reject) => {
        createInterface({ input: child.stdout }).once('line', resolve);
        child.once('exit', (code) => reject(new Error(`ended with ${code}`)));
      });
      return JSON.parse(line) as Record<string, unknown>;
    } finally {
      child.kill('SIGKILL');
      await new Promise((resolve) =>
        (child.exitCode ?? child.signalCode) !== null ? resolve(0) : child.once('exit', resolve),
      );
    }
  };

  it('runs the rehearsal and writes a code cache that V8 accepts', () => {
    assert.equal(built.status, 0, String(built.stderr));
    assert.doesNotMatch(String(built.stderr), /no rehearsal/);
    const cachedData = readFileSync(join(out, 'program.cache'));
    const text = readFileSync(join(out, 'program.cjs'), 'latin1');
    const check = `const {Script}=require('node:vm'),{readFileSync}=require('node:fs');
      const script=new Script('(function(exports,require,module,__filename,__dirname){'+readFileSync(process.argv[1],'latin1')+'\\n})',
        {filename:process.argv[1],cachedData:readFileSync(process.argv[2])});
      process.exit(script.cachedDataRejected?1:0)`;
    const files = [join(out, 'program.cjs'), join(out, 'program.cache')];
    const checked = spawnSync(process.execPath, ['--max-old-space-size=160', '-e', check, '--', ...files]);
    assert.equal(checked.status, 0, 'V8 rejects the code cache');
    assert.ok(cachedData.length > 100_000);
    assert.ok(
      [...text].every((letter) => letter < '\u0080'),
      'the bundle is read as ASCII',
    );
  });

  it('starts with the code cache, with a damaged one and without one', async () => {
    const cachePath = join(out, 'program.cache');
    for (const prepare of [
      () => assert.ok(existsSync(cachePath)),
      () => writeFileSync(cachePath, readFileSync(cachePath).fill(7, 0, 64)),
      () => rmSync(cachePath),
    ]) {
      prepare();
      const { ready: isReady, program: name, node } = await startUntilReady();
      assert.deepEqual([isReady, name, node], [true, 'bramblebend-control', 'a-core']);
    }
  });

  it('contains no WebAssembly and sets no V8 flags at run time', () => {
    for (const name of ['program.cjs', 'bramblebend.cjs'])
      for (const word of ['WebAssembly', 'setFlagsFromString'])
        assert.equal(readFileSync(join(out, name), 'latin1').includes(word), false, `${word} in ${name}`);
  });

  it('generates frame codecs that are equivalent to those of the library', async () => {
    const { frameCode } = (await import(pathToFileURL(join(root, 'deploy/frame-code.mjs')).href)) as {
      frameCode: (frame: Type) => string;
    };
    const file = join(out, 'frames.mjs');
    writeFileSync(file, frameCode(Schema.frame));
    const { Schema: made } = (await import(pathToFileURL(file).href)) as { Schema: { frame: Codec } };
    const encode = (codec: Codec, value: object) =>
      Buffer.from(codec.encode(codec.fromObject(value)).finish());
    const read = (codec: Codec, bytes: Buffer) => codec.toObject(codec.decode(bytes) as never, shape);
    const kinds = new Set<unknown>();
    for (let count = 0; count < 3000; count += 1) {
      const value = generateMessage(Schema.frame);
      const bytes = encode(Schema.frame, value);
      assert.deepEqual(encode(made.frame, value), bytes);
      const plain = read(Schema.frame, bytes);
      kinds.add(plain.body);
      assert.deepEqual(read(made.frame, bytes), plain);
      const corrupted = Buffer.from(bytes.subarray(0, random.below(bytes.length + 1)));
      if (corrupted.length > 0) corrupted[random.below(corrupted.length)] = random.below(256);
      assert.deepEqual(
        resultOf(() => read(made.frame, corrupted)),
        resultOf(() => read(Schema.frame, corrupted)),
      );
    }
    assert.equal(kinds.size, Schema.frame.oneofsArray[0]!.oneof.length);
  });
});
