// The agent as a program: its session with the control plane, the relay it is in the news tree, and the
// feed of its proxy over loopback. What the proxy still holds refills an agent that came back empty.
import { Address } from '../common/address.js';
import { Id } from '../common/id.js';
import { Listen } from '../common/listen.js';
import type { LogBuffer } from '../log/log-buffer.js';
import { Children } from '../membership/children.js';
import { Downlink } from '../membership/downlink.js';
import { MemberTable } from '../membership/member-table.js';
import { Roster } from '../membership/roster.js';
import { TransferQueue } from '../membership/transfer-queue.js';
import { Uplink } from '../membership/uplink.js';
import { Feed } from '../news/feed.js';
import { ViewConfirmation } from '../news/view-confirmation.js';
import { Metrics } from '../startup/metrics.js';
import { Ops } from '../startup/ops.js';
import type { Program } from '../startup/program.js';
import type { Startup as Settings } from '../startup/startup.js';
import { Version } from '../startup/version.js';
import { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import { LinkPair } from '../wire/link-pair.js';
import { LinkServer } from '../wire/link-server.js';

export type Agent = { readonly start: (startup: Agent.Startup, ring: LogBuffer) => Promise<Agent.Running> };

export declare namespace Agent {
  /** Without a feed address the proxy is in this process and comes by `join`. */
  type Startup = Omit<Settings['agent'], 'feed'> & { readonly feed?: string };
  type Running = Program & { readonly join: (terms: Link.Options) => Link };
}

export const Agent: Agent = {
  async start(startup, ring) {
    const feed = Feed.of();
    const voucher = ViewConfirmation.of(feed, () => ring.info('vouched for', { stamp: feed.stamp() }));
    const boot = Id.boot();
    let wire = '';
    let depth = 1;
    let opsText = '';
    let isDraining = false;
    const roll: MemberTable = MemberTable.of(() => ({
      node: startup.node,
      program: 'agent',
      zone: startup.zone,
      boot,
      stamp: feed.stamp(),
      http: '',
      wire,
      ops: opsText,
      depth,
      ready: !isDraining,
      vouched: voucher.isConfirmed(),
    }));
    const peers = () => uplink.candidates();
    const children = Children.of(roll);
    const turns = TransferQueue.of();
    const roster = Roster.of();
    const serve: LinkServer.Options['serve'] = (link, hello, frames) =>
      Downlink.serve(link, hello, frames, {
        feed,
        members: roll,
        children,
        peers,
        relays: () => [],
        isRelay: () => false,
        transfers: turns,
        roster,
        onCold: ({ stamp: _stamp, ...body }) => void uplink.send(body),
        onFailures: (failed) => void uplink.send({ kind: 'failures', failed }),
        version: Version,
        age: feed.age,
        onTokens: ({ stamp: _stamp, ...body }) => void uplink.send(body),
      });
    const terms = { stamp: feed.stamp, age: feed.age, pingsWhenBusy: true, serve, note: ring.info };
    const doorway = await LinkServer.open({ ...terms, address: Address.checked(startup.wire) });
    wire = LinkServer.text(doorway);
    const serveProxy: LinkServer.Options['serve'] = (link, hello, frames) => {
      if (hello.self.vouched) voucher.confirmFrom(hello.stamp);
      return serve(link, hello, frames);
    };
    const inner =
      startup.feed === undefined
        ? undefined
        : await LinkServer.open({ ...terms, address: Address.checked(startup.feed), serve: serveProxy });
    const joined = new Set<Link>();
    const uplink: Uplink = Uplink.run({
      feed,
      members: roll,
      seeds: startup.seeds,
      version: Version,
      reportsMembers: true,
      onPing() {
        voucher.check();
        for (const link of joined) link.send({ kind: 'ping', age: feed.age() });
      },
      onRoster: roster.set,
      onLoads: (loads) => children.broadcast({ kind: 'loads', loads }),
      onLeaving: (instances) => children.broadcast({ kind: 'leaving', instances }),
      onCold: ({ stamp: _stamp, ...body }) => children.broadcast(body),
      onFailures: (failed) => children.broadcast({ kind: 'failures', failed }),
      onParent(parent) {
        depth = parent.depth + 1;
      },
      onTokens: ({ stamp: _stamp, ...body }) => void children.send(body.node, body),
      note: ring.info,
    });
    const metrics = Metrics.of();
    const { gauge } = metrics;
    gauge('epoch', 'epoch of the manifest held', () => feed.stamp().epoch);
    gauge('revision', 'revision of the state held', () => feed.stamp().revision);
    gauge('news_age_seconds', 'age of the last word from the primary', () => feed.age() / 1000);
    gauge(
      'links_dropped',
      'links closed for what they sent',
      () => doorway.refusedCount() + (inner?.refusedCount() ?? 0),
    );
    gauge('frames_unknown', 'frames dropped since their kind is not known here', Frame.unknownCount);
    gauge('news_dropped', 'news dropped as not newer', feed.ignoredCount);
    const ops = Ops.of({
      isReady: () => (isDraining ? 'draining' : undefined),
      metrics,
      ring,
      describe: () => ({
        node: startup.node,
        boot,
        stamp: feed.stamp(),
        parent: uplink.parent(),
        depth,
        children: children.count(),
        version: Version,
      }),
    }).server();
    opsText = Address.text(await Listen(ops, Address.checked(startup.ops)));
    return {
      ready: { wire, ...(inner ? { feed: LinkServer.text(inner) } : {}), ops: opsText },
      join(theirs) {
        const [own, other] = LinkPair.of({ stamp: feed.stamp, age: feed.age }, theirs, startup.node);
        joined.add(own);
        void LinkServer.serveLink(own, { ...terms, serve: serveProxy }).finally(() => joined.delete(own));
        return other;
      },
      async drain() {
        isDraining = true;
        uplink.stop();
        await uplink.done;
        for (const link of joined) link.close();
        await Promise.all([doorway.close(), inner?.close()]);
        ops.close();
      },
    };
  },
};
