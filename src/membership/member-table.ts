// The roll says which nodes are members: each entry left its node some time ago (its age, counted on
// monotonic clocks along the way) and ends when nothing newer came for a while. Entries that came up
// from below are passed on upwards; entries told by peers are only kept. Who watches is told which entries from
// below changed or ended, so that only those need to be passed on at once. In between a heartbeat speaks for all the
// others: their count and a digest, and by name and age those that were not heard of lately, which go on ageing above.
import { createHash } from 'node:crypto';
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';

export type MemberTable = {
  readonly self: () => Frame.Entry;
  readonly update: (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => void;
  readonly replace: (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => void;
  readonly markDeparted: (nodes: readonly string[], via: string) => void;
  readonly removeVia: (via: string) => void;
  readonly heartbeat: () => MemberTable.Heartbeat;
  readonly applyHeartbeat: (heartbeat: MemberTable.Heartbeat, via: string) => boolean;
  readonly digestOf: (entry: Frame.Entry) => string;
  readonly descendants: () => readonly Frame.Entry[];
  readonly all: () => readonly Frame.Entry[];
  readonly get: (node: string) => Frame.Entry | undefined;
  readonly sinceLastJoin: () => number;
  readonly watch: (see: (changed: readonly string[]) => void) => () => void;
};

export declare namespace MemberTable {
  type Heartbeat = {
    readonly count: number;
    readonly digest: string;
    readonly stale: readonly { readonly node: string; readonly age: number }[];
  };
}

type Held = {
  readonly entry: Frame.Entry;
  readonly digest: bigint;
  readonly isBelow: boolean;
  left: Instant;
  isListed: boolean;
};

const expiryTimeoutMs = 4000;
const freshFor = 2000;
const movesWithin = 2000;

// What an entry says of its node, without how and when it came.
const digestOf = ({ counter: _counter, age: _age, via: _via, stamp, ...rest }: Frame.Entry): bigint => {
  const { node, program, zone, boot, http, wire, ops, depth, ready, vouched } = rest;
  const said = [
    node,
    program,
    zone,
    boot,
    stamp.epoch,
    stamp.revision,
    http,
    wire,
    ops,
    depth,
    ready,
    vouched,
  ];
  return createHash('sha256').update(JSON.stringify(said)).digest().readBigUInt64BE();
};
const together = (digests: readonly bigint[]): string =>
  digests.reduce((sum, one) => sum ^ one, 0n).toString(16);

export const MemberTable = {
  expiryMs: expiryTimeoutMs,
  of(describe: () => Omit<Frame.Entry, 'counter' | 'age' | 'via'>): MemberTable {
    const held = new Map<string, Held>();
    const watchers = new Set<(changed: readonly string[]) => void>();
    let counter = 0;
    let joinedAt = Instant.past;
    const self = (): Frame.Entry => ({ ...describe(), counter: ++counter, age: 0, via: '' });
    const tell = (changed: readonly string[]) => {
      if (changed.length > 0) for (const see of [...watchers]) see(changed);
    };
    const remove = (isGone: (one: Held, node: string) => boolean) => {
      const gone = [...held].filter(([node, one]) => isGone(one, node));
      for (const [node] of gone) held.delete(node);
      tell(gone.filter(([, one]) => one.isBelow).map(([node]) => node));
    };
    const expire = () => {
      for (const one of held.values())
        if (Instant.since(one.left) > expiryTimeoutMs) {
          remove(({ left }) => Instant.since(left) > expiryTimeoutMs);
          return;
        }
    };
    const list = (choose: (one: Held) => boolean): Frame.Entry[] => {
      expire();
      return [...held.values()].filter(choose).map((one) => ({ ...one.entry, age: Instant.since(one.left) }));
    };
    // A node that left one parent is most likely on its way to another: its entry stays for a while, but not for long.
    const strikeAll = (via: string, isStruck: (node: string) => boolean) => {
      const until = Instant.after(movesWithin - expiryTimeoutMs);
      for (const [node, one] of held)
        if (one.entry.via === via && one.isListed && isStruck(node)) {
          one.isListed = false;
          one.left = Instant.earliest(one.left, until);
        }
    };
    const note = (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => {
      const changed: string[] = [];
      const own = describe().node;
      for (const entry of entries) {
        if (entry.node === own) continue;
        const known = held.get(entry.node);
        const left = Instant.after(-entry.age);
        const isNewer =
          known === undefined ||
          (known.entry.boot === entry.boot ? entry.counter > known.entry.counter : left > known.left);
        if (!isNewer) {
          const isSame = known.entry.boot === entry.boot && known.entry.counter === entry.counter;
          if (isSame && known.entry.via === via) held.set(entry.node, { ...known, left, isListed: true });
          continue;
        }
        if (known?.entry.boot !== entry.boot) joinedAt = Instant.now();
        const digest = digestOf(entry);
        if (known?.digest !== digest && isBelow) changed.push(entry.node);
        held.set(entry.node, { entry: { ...entry, via }, digest, left, isBelow, isListed: true });
      }
      tell(changed);
    };
    return {
      self,
      update: note,
      replace(entries, via, isBelow) {
        note(entries, via, isBelow);
        const listed = new Set(entries.map((entry) => entry.node));
        strikeAll(via, (node) => !listed.has(node));
      },
      markDeparted: (nodes, via) => strikeAll(via, (node) => nodes.includes(node)),
      removeVia: (via) => remove((one) => one.isBelow && one.entry.via === via),
      digestOf: (entry) => together([digestOf(entry)]),
      heartbeat() {
        expire();
        const below = [...held.values()].filter((one) => one.isBelow);
        const now = Instant.now();
        const isFresh = (one: Held) => now - one.left <= freshFor;
        const fresh = below.filter(isFresh);
        const stale = below
          .filter((one) => !isFresh(one))
          .map((one) => ({ node: one.entry.node, age: Instant.since(one.left) }));
        const digest = together([digestOf(self()), ...fresh.map((one) => one.digest)]);
        return { count: fresh.length + 1, digest, stale };
      },
      applyHeartbeat({ count, digest, stale }, via) {
        expire();
        const unheard = new Set(stale.map(({ node }) => node));
        const listed = [...held.values()].filter(({ entry, isListed }) => entry.via === via && isListed);
        const spoken = listed.filter(({ entry }) => !unheard.has(entry.node));
        if (spoken.length !== count || together(spoken.map((one) => one.digest)) !== digest) return false;
        const now = Instant.now();
        for (const one of spoken) one.left = now;
        for (const { node, age } of stale) {
          const one = held.get(node);
          if (one?.entry.via === via) one.left = Instant.after(-age, now);
        }
        return true;
      },
      descendants: () => list((one) => one.isBelow),
      all: () => [self(), ...list(() => true)],
      get(node) {
        if (node === describe().node) return self();
        const one = held.get(node);
        if (!one || Instant.since(one.left) > expiryTimeoutMs) return undefined;
        return { ...one.entry, age: Instant.since(one.left) };
      },
      sinceLastJoin: () => Instant.since(joinedAt),
      watch(see) {
        watchers.add(see);
        return () => void watchers.delete(see);
      },
    };
  },
};
