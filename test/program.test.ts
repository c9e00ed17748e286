/** The command-line behaviour of the programs: flags, startup validation, exit codes and drain. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Bench } from './bench.js';

const bin = (name: string) => fileURLToPath(new URL(`../src/bin/${name}.js`, import.meta.url));
const run = (name: string, ...args: string[]) =>
  spawnSync(process.execPath, [bin(name), ...args], { encoding: 'utf8', timeout: 20_000 });

const makeStarted = () => {
  let markStarted: () => void = () => {};
  const started = new Promise<void>((resolve) => {
    markStarted = resolve;
  });
  return { started, markStarted };
};

const isClosed = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host, () => {
      socket.destroy();
      resolve(false);
    });
    socket.once('error', () => resolve(true));
  });

describe('programs', () => {
  let bench: Bench;
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-program-'));
  before(async () => {
    bench = await Bench.start();
  });
  after(async () => {
    await bench.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  it('print their version and their flags', () => {
    for (const name of ['proxy', 'agent', 'control', 'bramblebend']) {
      assert.match(run(name, '--version').stdout, /\d+\.\d+\.\d+/);
      assert.match(run(name, '--help').stdout, /Usage/);
    }
  });

  it('report all findings of an invalid startup with their place, and exit with 2', () => {
    const file = join(folder, 'bad.json');
    writeFileSync(file, JSON.stringify({ node: 'n', zone: '', wire: 'a-name:1', surplus: true, seeds: [] }));
    const result = run('agent', '--startup', file, '--ops', '127.0.0.1:0');
    assert.equal(result.status, 2);
    for (const place of ['/zone', '/wire', '/surplus', '/seeds', '/feed'])
      assert.match(result.stderr, new RegExp(place));
    assert.doesNotMatch(result.stderr, /\/ops/);
    assert.equal(run('proxy', '--surplus', '1').status, 2);
    assert.equal(run('bramblebend', 'status').status, 2);
  });

  it('validate and compare manifests on the command line', () => {
    const good = join(folder, 'good.json');
    const bad = join(folder, 'bad-manifest.json');
    writeFileSync(good, JSON.stringify({ ...Bench.manifest, note: 'other' }));
    writeFileSync(bad, JSON.stringify({ ...Bench.manifest, rules: [{ name: 'r' }] }));
    assert.equal(run('bramblebend', 'manifest', 'check', good).status, 0);
    const findings = run('bramblebend', 'manifest', 'check', bad);
    assert.equal(findings.status, 1);
    assert.match(findings.stdout, /\/rules\/0\/groups is missing/);
    const where = [
      '--control',
      bench.kit.cores.map((core) => core.http).join(','),
      '--token',
      'operator-token-of-the-fleet',
    ];
    assert.match(run('bramblebend', 'manifest', 'diff', good, ...where).stdout, /\+ \/note "other"/);
    const traced = run('bramblebend', 'trace', good, ...where);
    assert.equal(traced.status, 0, traced.stdout);
    for (const core of bench.kit.cores) assert.match(traced.stdout, new RegExp(`\\d+ ms +${core.node} `));
    assert.match(run('bramblebend', 'manifest', 'get', ...where).stdout, /"note": "other"/);
    assert.equal(run('bramblebend', 'zone', 'evacuate', 'c-1', ...where).status, 0);
    assert.match(run('bramblebend', 'manifest', 'get', ...where).stdout, /"evacuations": \[\s+"c-1"/);
    assert.equal(run('bramblebend', 'zone', 'restore', 'c-1', ...where).status, 0);
  });

  it('import an Envoy configuration as a draft, and report each setting that has no equivalent', () => {
    const path = join(folder, 'envoy.yaml');
    writeFileSync(
      path,
      `static_resources:
  listeners:
    - filter_chains:
        - filters:
            - typed_config:
                route_config:
                  virtual_hosts:
                    - routes:
                        - name: stock
                          match: { prefix: /stock/, headers: [{ name: ":method", string_match: { exact: GET } }] }
                          route:
                            cluster: ordering
                            timeout: 4s
                            retry_policy: { retry_on: "connect-failure,reset", num_retries: 3, per_try_timeout: 1.5s }
                        - match: { safe_regex: { regex: ".*" } }
                          route: { cluster: ordering }
  clusters:
    - name: ordering
      connect_timeout: 0.5s
      lb_policy: ROUND_ROBIN
      outlier_detection: { consecutive_5xx: 3, base_ejection_time: 30s }
`,
    );
    const made = run('bramblebend', 'manifest', 'import', path);
    assert.equal(made.status, 0);
    assert.deepEqual(JSON.parse(made.stdout), {
      zones: {},
      groups: {
        ordering: {
          kind: 'plain',
          regions: [],
          ejection: { consecutive_5xx: 3, base_ejection_time: 30_000 },
        },
      },
      homes: {},
      teams: {},
      rules: [
        {
          name: 'stock',
          match: { path: '/stock/*', method: 'GET' },
          groups: ['ordering'],
          runs: 'once',
          timeouts: { connect: 500, per_try: 1500, total: 4000 },
          retry: { retry_on: ['connect-failure', 'reset'], count: 3 },
        },
      ],
    });
    const places = [
      '/static_resources/clusters/0/lb_policy is not carried over',
      '/routes/1/match/safe_regex/regex is not carried over',
      '/groups/ordering/regions must hold at least 1 entries',
    ];
    for (const place of places) assert.ok(made.stderr.includes(place), `${place} in ${made.stderr}`);
    assert.equal(made.stderr.includes('num_retries'), false);
  });
  it('explain a wrong file, address or token, and set the exit code', () => {
    const missing = run('bramblebend', 'manifest', 'check', '/no/such/file');
    assert.equal(missing.status, 2);
    assert.match(missing.stderr, /cannot read \/no\/such\/file/);
    const text = join(folder, 'text');
    writeFileSync(text, 'not json');
    assert.match(run('bramblebend', 'manifest', 'check', text).stderr, /is no JSON/);
    const nobody = run('bramblebend', 'status', '--control', '127.0.0.1:9', '--token', 'whatever');
    assert.equal(nobody.status, 3);
    assert.match(nobody.stderr, /--control takes/);
    const { http } = bench.kit.cores[0]!;
    const stranger = run('bramblebend', 'status', '--control', http, '--token', 'whatever');
    assert.equal(stranger.status, 1);
    assert.match(stranger.stdout, /bad_token/);
  });
  it('drain on SIGTERM: a running stream completes, then the program exits with 0', async () => {
    const { started, markStarted } = makeStarted();
    let end: () => void = () => {};
    const server = await bench.backEnd({
      instance: 'slow',
      group: 'llm',
      region: 'a',
      handle(_request, response) {
        Bench.sse(response, ['one'], false);
        end = () => response.end('data: [DONE]\n\n');
        markStarted();
      },
    });
    await bench.list([server]);
    const front = bench.kit.fronts[0]!;
    const answer = bench.chat('again');
    await started;
    front.proxy?.signal('SIGTERM');
    while (!(await isClosed(front.listen)));
    end();
    assert.equal((await answer).text, 'data: one\n\ndata: [DONE]\n\n');
    assert.equal(await front.proxy?.ended, 0);
    await bench.kit.startProxy(front);
  });

  it('exit at once on a second SIGTERM', async () => {
    const { started, markStarted } = makeStarted();
    const server = await bench.backEnd({
      instance: 'endless',
      group: 'llm',
      region: 'a',
      handle(_request, response) {
        Bench.sse(response, ['one'], false);
        const more = setInterval(() => response.write('data: more\n\n'), 50);
        response.once('close', () => clearInterval(more));
        markStarted();
      },
    });
    await bench.list([server]);
    const front = bench.kit.fronts[0]!;
    const answer = bench.chat('again');
    await started;
    front.proxy?.signal('SIGTERM');
    while (!(await isClosed(front.listen)));
    assert.equal(front.proxy?.isUp(), true);
    front.proxy?.signal('SIGTERM');
    await front.proxy?.ended;
    assert.equal((await answer).isBroken, true);
  });
});
