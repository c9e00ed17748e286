/**
 * The agent program: its session with the control plane, its part as a relay in the tree of views, and the link to the
 * proxy of its machine over loopback. The view that the proxy still holds is handed to an agent that restarted empty.
 */
import { Address } from '../common/address.js';
import { Id } from '../common/id.js';
import { Instant } from '../common/instant.js';
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
import { Overload } from '../overload/overload.js';
import { Metrics } from '../startup/metrics.js';
import { Ops } from '../startup/ops.js';
import type { Program } from '../startup/program.js';
import type { Startup as Settings } from '../startup/startup.js';
import { Version } from '../startup/version.js';
import { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import { LinkPair } from '../wire/link-pair.js';
import { LinkServer } from '../wire/link-server.js';
import { PingClock } from '../wire/ping-clock.js';

/** The agent program. */
export type Agent = {
  readonly start: (startup: Agent.Startup, log: LogBuffer, overload?: Overload) => Promise<Agent.Running>;
};

/** Settings and the running program. */
export declare namespace Agent {
  /** Without a feed address the proxy runs in this process and connects by `join`. */
  type Startup = Omit<Settings['agent'], 'feed'> & { readonly feed?: string };
  type Running = Program & { readonly join: (linkOptions: Link.Options) => Link };
}

/** Starts the agent. */
export const Agent: Agent = {
  async start(startup, log, overload = Overload.of(startup)) {
    const feed = Feed.of();
    const confirmation = ViewConfirmation.of(feed, () => log.info('view confirmed', { stamp: feed.stamp() }));
    const boot = Id.boot();
    let wire = '';
    let depth = 1;
    let opsAddress = '';
    let isDraining = false;
    const members: MemberTable = MemberTable.of(() => ({
      node: startup.node,
      program: 'agent',
      zone: startup.zone,
      boot,
      stamp: feed.stamp(),
      http: '',
      wire,
      ops: opsAddress,
      depth,
      ready: !isDraining,
      vouched: confirmation.isConfirmed(),
    }));
    const peers = () => uplink.candidates();
    const children = Children.of(members);
    const transfers = TransferQueue.of();
    const roster = Roster.of();
    const serve: LinkServer.Options['serve'] = (link, hello, frames) =>
      Downlink.serve(link, hello, frames, {
        feed,
        members,
        children,
        peers,
        relays: () => [],
        isRelay: () => false,
        transfers,
        roster,
        onCold: ({ stamp: _stamp, ...body }) => void uplink.send(body),
        onFailures: (failed) => void uplink.send({ kind: 'failures', failed }),
        version: Version,
        age: feed.age,
        onTokens: ({ stamp: _stamp, ...body }) => void uplink.send(body),
      });
    const linkOptions = {
      stamp: feed.stamp,
      age: feed.age,
      verifiedAge: () => Instant.since(feed.verifiedAt()),
      pingsWhenBusy: true,
      serve,
      overload,
      note: log.info,
    };
    const linkServer = await LinkServer.open({ ...linkOptions, address: Address.checked(startup.wire) });
    wire = LinkServer.text(linkServer);
    const serveProxy: LinkServer.Options['serve'] = (link, hello, frames) => {
      if (hello.self.vouched) confirmation.confirmFrom(hello.stamp);
      return serve(link, hello, frames);
    };
    const proxyLinkServer =
      startup.feed === undefined
        ? undefined
        : await LinkServer.open({
            ...linkOptions,
            address: Address.checked(startup.feed),
            serve: serveProxy,
          });
    const localLinks = new Set<Link>();
    const uplink: Uplink = Uplink.run({
      feed,
      members,
      seeds: startup.seeds,
      version: Version,
      reportsMembers: true,
      onPing() {
        confirmation.check();
        for (const link of localLinks) link.send(PingClock.local(feed.age(), feed.verifiedAt()));
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
      note: log.info,
    });
    const metrics = Metrics.of();
    const { gauge } = metrics;
    gauge('epoch', 'epoch of the manifest held', () => feed.stamp().epoch);
    gauge('revision', 'revision of the state held', () => feed.stamp().revision);
    gauge('news_age_seconds', 'age of the last word from the primary', () => feed.age() / 1000);
    gauge(
      'links_dropped',
      'links closed for what they sent',
      () => linkServer.refusedCount() + (proxyLinkServer?.refusedCount() ?? 0),
    );
    gauge('frames_unknown', 'frames dropped since their kind is not known here', Frame.unknownCount);
    overload.addMetrics(metrics);
    gauge('news_dropped', 'news dropped as not newer', feed.ignoredCount);
    const ops = Ops.of({
      isReady: () => (isDraining ? 'draining' : undefined),
      metrics,
      ring: log,
      describe: () => ({
        node: startup.node,
        boot,
        stamp: feed.stamp(),
        parent: uplink.parent(),
        depth,
        children: children.count(),
        version: Version,
      }),
    }).server(overload);
    opsAddress = Address.text(await Listen(ops, Address.checked(startup.ops)));
    return {
      ready: {
        wire,
        ...(proxyLinkServer ? { feed: LinkServer.text(proxyLinkServer) } : {}),
        ops: opsAddress,
      },
      join(proxyOptions) {
        const [agentEnd, proxyEnd] = LinkPair.of(
          { stamp: feed.stamp, age: feed.age },
          proxyOptions,
          startup.node,
        );
        localLinks.add(agentEnd);
        void LinkServer.serveLink(agentEnd, { ...linkOptions, serve: serveProxy }).finally(() =>
          localLinks.delete(agentEnd),
        );
        return proxyEnd;
      },
      async drain() {
        isDraining = true;
        uplink.stop();
        await uplink.done;
        for (const link of localLinks) link.close();
        await Promise.all([linkServer.close(), proxyLinkServer?.close()]);
        ops.close();
      },
    };
  },
};
