// What reading, checking, cutting, mending and compiling documents of a size costs one node, without any network:
// node dist/tools/scale/parts.js prints the median of some rounds in milliseconds, and the sizes in bytes.

import { Stamp } from '../../src/common/stamp.js';
import { Rights } from '../../src/control/rights.js';
import { Check } from '../../src/manifest/check.js';
import { Compiled } from '../../src/manifest/compiled.js';
import { View } from '../../src/manifest/view.js';
import { Ranges } from '../../src/repair/ranges.js';
import { ViewCache } from '../../src/repair/view-cache.js';
import { State } from '../../src/store/state.js';
import { World } from './world.js';

const rounds = 9;
const teamSamples = 25;
const sizes = [
  [8, 20, 8],
  [2000, 20, 8],
  [8, 1600, 8],
  [8, 20, 2200],
  [2000, 1600, 2200],
] as const;

const median = (work: () => unknown): number => {
  work();
  const spans = Array.from({ length: rounds }, () => {
    const began = performance.now();
    work();
    return performance.now() - began;
  });
  return Number(spans.sort((a, b) => a - b)[Math.floor(rounds / 2)]!.toFixed(1));
};

for (const [rules, servers, tenants] of sizes) {
  const world = World.of({ nodes: 610, rules, servers, tenants, quotas: 0 });
  const viewOf = (revision: number) => {
    const stamp = Stamp.of(1, revision);
    const platform = { ...stamp, serial: 1, servers: world.servers(1).servers, leaving: [] };
    return { stamp, platform, manifest: { ...stamp, document: world.manifest(revision) } } as View;
  };
  const [before, after] = [viewOf(1), viewOf(2)];
  const held = Ranges.cut(before);
  const patchTo = (view: View) => Ranges.patch(Ranges.cut(view), Ranges.digests(held));
  const patch = patchTo(after);
  const { document } = after.manifest!;
  const withTeams = (teams: object): View => {
    const changed = { ...before.manifest!.document, teams } as unknown as typeof document;
    return { ...after, manifest: { ...after.manifest!, document: changed } };
  };
  const { teams } = before.manifest!.document;
  const teamPatches = Object.keys(teams).map((name) => () => {
    const changed = withTeams({ ...teams, [name]: { ...teams[name], keys: ['0'.repeat(64)] } });
    return JSON.stringify(patchTo(changed)).length;
  });
  const step = Math.ceil(teamPatches.length / teamSamples);
  const teamBytes = teamPatches.filter((_none, index) => index % step === 0).map((measure) => measure());
  const change = { kind: 'manifest', document, by: '', at: '', what: '', teams: [] } as const;
  const state = State.apply(State.empty, { ...change, stamp: Stamp.of(1, 1) });
  const row = {
    rules,
    servers,
    tenants,
    wholeBytes: View.encode(after).length,
    compressedBytes: (await ViewCache.compressed(after)).length,
    patchBytes: JSON.stringify(patch).length,
    oneTeamBytes: teamBytes.sort((a, b) => a - b)[Math.floor(teamBytes.length / 2)],
    ranges: held.size,
    check: median(() => Check.manifest(document)),
    rights: median(() => Rights.affected(before.manifest!.document, document)),
    apply: median(() => State.apply(state, { ...change, stamp: Stamp.of(1, 2) })),
    encode: median(() => View.encode(after)),
    decode: median(() => View.decode(View.encode(after))),
    cut: median(() => Ranges.cut(after)),
    mend: median(() => Ranges.applyPatch(held, patch)),
    compile: median(() => Compiled.of(after)),
  };
  process.stdout.write(`${JSON.stringify(row)}\n`);
}
