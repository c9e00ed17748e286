/**
 * The table of members. Each entry was sent by its node some time ago (its age, counted on the monotonic clocks of the
 * nodes along the way) and expires when nothing newer arrives for a while. Entries received from below are passed on
 * upwards; entries received from peers are only kept. Watchers are told which entries from below changed or expired, so
 * that only those need to be passed on at once. Between changes a heartbeat confirms all others by their count and a
 * digest. It lists with their age the entries that were not renewed lately, which continue to age at the parent.
 */
import { createHash } from 'node:crypto';
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';

/** The members that a node knows. */
export type MemberTable = {
  readonly self: () => Frame.Entry;
  /** Enters newer entries, received through the node `via`. */
  readonly update: (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => void;
  /** Enters the complete list of `via`; its other entries count as departed. */
  readonly replace: (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => void;
  /** Lets the entries of these nodes expire soon, unless they arrive through another node. */
  readonly markDeparted: (nodes: readonly string[], via: string) => void;
  /** Removes all entries from below that were received through this node. */
  readonly removeVia: (via: string) => void;
  /** Summarizes this node and all entries from below. */
  readonly heartbeat: () => MemberTable.Heartbeat;
  /** Renews the entries received through `via`; false when they differ from those that the heartbeat summarizes. */
  readonly applyHeartbeat: (heartbeat: MemberTable.Heartbeat, via: string) => boolean;
  readonly digestOf: (entry: Frame.Entry) => string;
  /** The entries received from below. */
  readonly descendants: () => readonly Frame.Entry[];
  readonly all: () => readonly Frame.Entry[];
  readonly get: (node: string) => Frame.Entry | undefined;
  /** Milliseconds since a node that was ready stopped being so; infinite for any other node. */
  readonly unreadyFor: (node: string) => number;
  /** Milliseconds since a node joined or restarted. */
  readonly sinceLastJoin: () => number;
  /** Calls back with the nodes whose entries from below changed; returns a function that ends it. */
  readonly watch: (listener: (changed: readonly string[]) => void) => () => void;
};

/** The parts of a member table. Field names are those of the protobuf schema. */
export declare namespace MemberTable {
  type Heartbeat = {
    readonly count: number;
    readonly digest: string;
    readonly stale: readonly { readonly node: string; readonly age: number }[];
  };
}

/**
 * An entry; `left` is when its node sent it, `isListed` whether its sender still reports it, and `unreadyAt` when a process that
 * was ready stopped being so.
 */
type Member = {
  readonly entry: Frame.Entry;
  readonly digest: bigint;
  readonly isBelow: boolean;
  readonly unreadyAt: Instant | undefined;
  left: Instant;
  isListed: boolean;
};

/** Age at which an entry expires. */
const expiryTimeoutMs = 4000;
/** Up to this age an entry is covered by the digest of a heartbeat. */
const freshnessMs = 2000;
/** Time in which a node that left its parent has to appear elsewhere. */
const departureTimeoutMs = 2000;

/** When the process of an entry stopped being ready; undefined while it is, and for one that never was. */
const unreadyAtOf = (known: Member | undefined, entry: Frame.Entry): Instant | undefined => {
  if (entry.ready || known?.entry.boot !== entry.boot) return undefined;
  return known.entry.ready ? Instant.now() : known.unreadyAt;
};

/** A digest of what an entry says about its node, without when and through whom it was received. */
const digestOf = ({ counter: _counter, age: _age, via: _via, stamp, ...rest }: Frame.Entry): bigint => {
  const { node, program, zone, boot, http, wire, ops, depth, ready, vouched } = rest;
  const fields = [
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
  return createHash('sha256').update(JSON.stringify(fields)).digest().readBigUInt64BE();
};
const combineDigests = (digests: readonly bigint[]): string =>
  digests.reduce((sum, digest) => sum ^ digest, 0n).toString(16);

/** Creates member tables. */
export const MemberTable = {
  expiryMs: expiryTimeoutMs,
  /** `describe` returns the entry of this node. */
  of(describe: () => Omit<Frame.Entry, 'counter' | 'age' | 'via'>): MemberTable {
    const table = new Map<string, Member>();
    const listeners = new Set<(changed: readonly string[]) => void>();
    let counter = 0;
    let joinedAt = Instant.past;
    const self = (): Frame.Entry => ({ ...describe(), counter: ++counter, age: 0, via: '' });
    const notify = (changed: readonly string[]) => {
      if (changed.length > 0) for (const listener of [...listeners]) listener(changed);
    };
    const remove = (isRemoved: (member: Member, node: string) => boolean) => {
      const removed = [...table].filter(([node, member]) => isRemoved(member, node));
      for (const [node] of removed) table.delete(node);
      notify(removed.filter(([, member]) => member.isBelow).map(([node]) => node));
    };
    const expire = () => {
      for (const member of table.values())
        if (Instant.since(member.left) > expiryTimeoutMs) {
          remove(({ left }) => Instant.since(left) > expiryTimeoutMs);
          return;
        }
    };
    const list = (choose: (member: Member) => boolean): Frame.Entry[] => {
      expire();
      return [...table.values()]
        .filter(choose)
        .map((member) => ({ ...member.entry, age: Instant.since(member.left) }));
    };
    // A node that left its parent is most likely joining another one: its entry expires after a shorter time.
    const markAllDeparted = (via: string, isDeparted: (node: string) => boolean) => {
      const until = Instant.after(departureTimeoutMs - expiryTimeoutMs);
      for (const [node, member] of table)
        if (member.entry.via === via && member.isListed && isDeparted(node)) {
          member.isListed = false;
          member.left = Instant.earliest(member.left, until);
        }
    };
    const update = (entries: readonly Frame.Entry[], via: string, isBelow: boolean) => {
      const changed: string[] = [];
      const own = describe().node;
      for (const entry of entries) {
        if (entry.node === own) continue;
        const known = table.get(entry.node);
        const left = Instant.after(-entry.age);
        const isNewer =
          known === undefined ||
          (known.entry.boot === entry.boot ? entry.counter > known.entry.counter : left > known.left);
        if (!isNewer) {
          const isSame = known.entry.boot === entry.boot && known.entry.counter === entry.counter;
          if (isSame && known.entry.via === via) table.set(entry.node, { ...known, left, isListed: true });
          continue;
        }
        if (known?.entry.boot !== entry.boot) joinedAt = Instant.now();
        const digest = digestOf(entry);
        if (known?.digest !== digest && isBelow) changed.push(entry.node);
        table.set(entry.node, {
          entry: { ...entry, via },
          digest,
          left,
          isBelow,
          isListed: true,
          unreadyAt: unreadyAtOf(known, entry),
        });
      }
      notify(changed);
    };
    return {
      self,
      update,
      replace(entries, via, isBelow) {
        update(entries, via, isBelow);
        const listed = new Set(entries.map((entry) => entry.node));
        markAllDeparted(via, (node) => !listed.has(node));
      },
      markDeparted: (nodes, via) => markAllDeparted(via, (node) => nodes.includes(node)),
      removeVia: (via) => remove((member) => member.isBelow && member.entry.via === via),
      digestOf: (entry) => combineDigests([digestOf(entry)]),
      heartbeat() {
        expire();
        const below = [...table.values()].filter((member) => member.isBelow);
        const now = Instant.now();
        const isFresh = (member: Member) => now - member.left <= freshnessMs;
        const fresh = below.filter(isFresh);
        const stale = below
          .filter((member) => !isFresh(member))
          .map((member) => ({ node: member.entry.node, age: Instant.since(member.left) }));
        const digest = combineDigests([digestOf(self()), ...fresh.map((member) => member.digest)]);
        return { count: fresh.length + 1, digest, stale };
      },
      applyHeartbeat({ count, digest, stale }, via) {
        expire();
        const staleNodes = new Set(stale.map(({ node }) => node));
        const listed = [...table.values()].filter(({ entry, isListed }) => entry.via === via && isListed);
        const renewed = listed.filter(({ entry }) => !staleNodes.has(entry.node));
        if (renewed.length !== count || combineDigests(renewed.map((member) => member.digest)) !== digest)
          return false;
        const now = Instant.now();
        for (const member of renewed) member.left = now;
        for (const { node, age } of stale) {
          const member = table.get(node);
          if (member?.entry.via === via) member.left = Instant.after(-age, now);
        }
        return true;
      },
      descendants: () => list((member) => member.isBelow),
      all: () => [self(), ...list(() => true)],
      get(node) {
        if (node === describe().node) return self();
        const member = table.get(node);
        if (!member || Instant.since(member.left) > expiryTimeoutMs) return undefined;
        return { ...member.entry, age: Instant.since(member.left) };
      },
      unreadyFor(node) {
        const unreadyAt = table.get(node)?.unreadyAt;
        return unreadyAt === undefined ? Number.POSITIVE_INFINITY : Instant.since(unreadyAt);
      },
      sinceLastJoin: () => Instant.since(joinedAt),
      watch(listener) {
        listeners.add(listener);
        return () => void listeners.delete(listener);
      },
    };
  },
};
