// The defects that the simulation must find, as replacements in the sources that only its own bundles get.
import type { Bundle } from './bundle.js';

/** One planted defect. */
export type Plant = { readonly name: string; readonly changes: readonly Bundle.Change[] };

const plant = (name: string, file: string, ...pairs: readonly (readonly [string, string])[]): Plant => ({
  name,
  changes: pairs.map(([from, to]) => ({ file: `src/${file}`, from, to })),
});

export const Plant = {
  list: [
    plant('reads without a majority', 'control/primary-gateway.ts', [
      'const isConfirmed = await primary.confirm();',
      'const isConfirmed = true;',
    ]),
    plant('refusals without a majority', 'control/primary-gateway.ts', [
      'await confirm();\n    return refusal;',
      'return refusal;',
    ]),
    plant(
      'an order that may have been taken is told as not taken',
      'control/primary-gateway.ts',
      ["const taken = isBegun ? 'unknown' : 'no';", "const taken = 'no';"],
      ["return unconfirmed(text, isBegun ? 'unknown' : 'no');", "return unconfirmed(text, 'no');"],
    ),
    plant('the register counted by epoch instead of ballot', 'epoch/vote.ts', [
      'return Term.compare(a.term, a.accepted ?? Ballot.none, b.term, b.accepted ?? Ballot.none);',
      'void Ballot; return a.term.epoch - b.term.epoch;',
    ]),
    plant('the register changed without a majority', 'epoch/vote-collector.ts', [
      'return Vote.isMajority(grants, before) && Vote.isMajority(grants, term);',
      'return grants.length > 0;',
    ]),
    plant('a promise that is not synced before its answer', 'epoch/register.ts', [
      'else await file.append(bytes);',
      'else void file.append(bytes).catch(() => {});',
    ]),
    plant(
      'an empty disk that votes',
      'epoch/acceptor.ts',
      ['if (state.term === null && !isForming) return undefined;', ''],
      ['if (state.term === null && !isChosen) return undefined;', ''],
    ),
    plant(
      'a floor that is not raised',
      'epoch/acceptor.ts',
      ['epoch > state.floor ? { ...state, floor: epoch } : state', '(void epoch, state)'],
      ['Epoch.of(Math.max(term.epoch, state.floor))', 'Epoch.of(0 * Math.max(term.epoch, state.floor))'],
    ),
    plant('a backup that answers before its sync', 'replica/backup.ts', [
      'await store.apply(change, previous);',
      'void store.apply(change, previous).catch(() => {});',
    ]),
    plant(
      'late whole states are taken',
      'replica/backup.ts',
      ["if (!Stamp.isNewer(target, held.stamp)) return 'a newer state is held';", ''],
      ["if (!Stamp.isNewer(transfer.target, store.state().stamp)) return 'a newer state is held';", ''],
    ),
    plant('a member counted while it still catches up', 'replica/replication-round.ts', [
      'new Set([...confirmed].flatMap(([disk, under]) => (under === epoch ? [disk] : [])))',
      'new Set([...(void epoch, confirmed.keys()), ...asked])',
    ]),
    plant('acknowledged without the backups', 'replica/acknowledgement.ts', [
      'await Promise.all([local, replication.replicate(next)]);',
      'void replication.replicate(next).catch(() => {}); await local;',
    ]),
    plant('acknowledged without the own disk', 'replica/acknowledgement.ts', [
      'await Promise.all([local, replication.replicate(next)]);\n        acknowledge(store.state());',
      'void local.catch(() => {}); await replication.replicate(next); acknowledge(next);',
    ]),
    plant('what an earlier primary left is acknowledged without the backups', 'replica/acknowledgement.ts', [
      'await replication.replicate(state);',
      '',
    ]),
    plant(
      'an in-sync set that shrinks',
      'replica/in-sync-set.ts',
      ['term.inSync.length > losses', 'term.inSync.length > 0'],
      ['return chosen.length === losses ?', 'return true ?'],
    ),
    plant('a leaving member is not waited for', 'replica/membership-change.ts', [
      'if (old && isInSync(old)) {',
      'if (false && old && isInSync(old)) {',
    ]),
    plant('a primary that goes on when deposed', 'replica/leadership.ts', [
      "if (!phase.is('leading')) throw Failure.of('unconfirmed', 'no longer primary');",
      '',
    ]),
    plant('an outcome of the register that is not known is relied on', 'replica/leadership.ts', [
      'isOutcomeUnknown = !isKnown;',
      'isOutcomeUnknown = false;',
    ]),
    plant(
      'a core that is not in sync takes over',
      'control/lifecycle/following.ts',
      [
        'if (!term || !Term.isInSync(term, register.disk) || !store.isHealthy() || context.isLeaving) return;',
        'if (!term || context.isLeaving) return;',
      ],
      ['Term.isSame(base, from) && Term.isInSync(base, register.disk)', 'Term.isSame(base, from)'],
    ),
    plant('forming while a silent core may remember', 'control/formation-rules.ts', [
      "wire !== '' && !votes.some(",
      'false && !votes.some(',
    ]),
    plant('orders taken before are not known again', 'control/commands/put-numbered.ts', [
      "const isTaken = known === 'taken';",
      'const isTaken = false && known;',
    ]),
    plant(
      'a base that is not looked at',
      'control/commands/put-numbered.ts',
      ['const isRefused = base !== current || number <= current;', 'const isRefused = number <= current;'],
      ['if (base !== current)\n', 'if (number < 0)\n'],
    ),
    plant('the tail after a snapshot is left out', 'store/store.ts', [
      'for (const payload of file.payloads) replay.add',
      'for (const payload of file.payloads.slice(0, Math.max(1, file.payloads.length - 1))) replay.add',
    ]),
    plant('a record that is not synced', 'store/file.ts', ['await this.#handle.datasync();', '']),
    plant('a rewritten file that is not made lasting', 'store/file.ts', [
      'await rename(path, this.#pathOf());\n      await syncFolder(this.#folder);',
      'await rename(path, this.#pathOf());',
    ]),
  ] as readonly Plant[],
};
